//! A few senders on one wall clock, with folders that outlast them, and the judge.
//!
//! The judge knows nothing of words and leases: it looks at the folders, and at where each sender would act.
// Each test file uses a part of it.
#![allow(dead_code)]
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::test_runner::{Config, RngSeed};
use rudderspindle_placement::{
    Change, HallMask, Halls, Key, Letter, Open, Placement, Record, Rules, Settings, TenantId,
};

pub const LEASE_MS: u64 = 1_000;
pub const START: u64 = 10_000;

/// So many cases, the same in each run; `PROPTEST_RNG_SEED` draws others, `PROPTEST_CASES` more.
pub fn drawn(cases: u32) -> Config {
    let given = Config::default();
    let rng_seed = if given.rng_seed == RngSeed::Random { RngSeed::Fixed(35) } else { given.rng_seed };
    Config { rng_seed, cases: given.cases.max(cases), failure_persistence: None, ..given }
}

pub fn key() -> Key {
    Key::new([7; 16])
}

pub fn tenant() -> TenantId {
    key().tenant("narmada-sports")
}

pub fn rules(revision: u64, open: &[&str]) -> Rules {
    let halls = Halls::new(&["hall-a", "hall-b"]).unwrap();
    let known = BTreeSet::from(["narmada-sports"]);
    Rules::check(revision, &[("narmada-sports", open)], &halls, &known, &key()).unwrap()
}

pub fn settings(me: u16, senders: u16) -> Settings {
    Settings {
        me,
        senders,
        adders: 1,
        halls: Halls::new(&["hall-a", "hall-b"]).unwrap(),
        own_hall: usize::from(me) % 2,
        lease_ms: LEASE_MS,
        clock_error_ms: 0,
        announce_ms: 0,
        longest_call_ms: 500,
        erase_within_ms: 1_000,
        key: key(),
    }
}

/// One sender: a process or none, and its folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub process: Option<Arc<Placement>>,
    pub stopped: bool,
    pub folder: Option<Vec<u8>>,
    pub incarnation: u64,
    /// What `folder` says: the revisions held, if its sender counts.
    pub counts: BTreeSet<u64>,
}

/// What the judge has seen of the folders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Judge {
    /// Who held a revision at some time of this round.
    stood: BTreeMap<u64, BTreeSet<usize>>,
    /// Since when more than half hold a revision at once.
    since: BTreeMap<u64, u64>,
    /// Revisions that more than half held within one round.
    ever: BTreeSet<u64>,
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now: u64,
    /// See `Settings::announce_ms`; set by the test once the first revision is in force.
    pub announce_ms: u64,
    /// When in a round senders keep and send, ms from its start, the first 0 (to state) and the last 400 (for word).
    pub times: &'static [u64],
    pub nodes: Vec<Node>,
    judge: Judge,
}

impl World {
    /// Senders that hold revision 1 of `first` and have a lease, on the way since one round.
    pub fn in_force(senders: u16, first: &Rules) -> World {
        let nodes = (0..senders).map(|me| {
            // A record of a sender that counts: of a fleet of one, which recovers by its own word.
            let mut alone =
                Placement::new(settings(0, 1), Some(first.clone()), None, 1, START - 3_000).unwrap();
            for now in [START - 2_000, START - 1_600] {
                let generation = alone.to_keep(now).map_or(0, |snapshot| snapshot.generation);
                alone.kept(generation);
                alone.notes_due(now);
            }
            let folder = alone.snapshot().bytes;
            let mut node = Node {
                process: None,
                stopped: false,
                folder: Some(folder),
                incarnation: 0,
                counts: BTreeSet::from([1]),
            };
            node.start(settings(me, senders), None, START - 500);
            node
        });
        let mut world = World {
            now: START - 500,
            announce_ms: 0,
            times: &[0, 400],
            nodes: nodes.collect(),
            judge: Judge::default(),
        };
        world.judge();
        for _ in 0..2 {
            let letters = world.tick();
            for (from, letter) in letters {
                world.deliver(from, &letter);
            }
            world.advance();
        }
        world
    }

    /// The next time of the round at which senders look what is due.
    pub fn advance(&mut self) {
        let start = self.now - self.now % 500;
        let next = self.times.iter().map(|time| start + time).find(|&time| time > self.now);
        self.now = next.unwrap_or(start + 500);
        if next.is_none() {
            self.judge.stood.clear();
        }
        self.judge();
    }

    /// Every process that runs keeps what is to be kept, and gives its notes.
    pub fn tick(&mut self) -> Vec<(usize, Letter)> {
        let mut letters = Vec::new();
        for (i, node) in self.nodes.iter_mut().enumerate().filter(|(_, node)| !node.stopped) {
            let Some(process) = &mut node.process else { continue };
            let process = Arc::make_mut(process);
            if let Some(snapshot) = process.to_keep(self.now) {
                let record = Record::restore(&snapshot.bytes, &key()).unwrap();
                node.counts = record.stated().map(|tag| tag.revision).collect();
                node.folder = Some(snapshot.bytes);
                process.kept(snapshot.generation);
            }
            letters.extend(process.notes_due(self.now).into_iter().map(|letter| (i, letter)));
            process.changes();
        }
        self.judge();
        letters
    }

    /// A note arrives, if anybody is there.
    pub fn deliver(&mut self, from: usize, letter: &Letter) {
        self.deliver_telling(from, letter, |_| {});
    }

    /// The same, with what came of it.
    pub fn deliver_telling(&mut self, from: usize, letter: &Letter, tell: impl FnMut(Change)) {
        let node = &mut self.nodes[usize::from(letter.to)];
        if let (Some(process), false) = (&mut node.process, node.stopped) {
            let process = Arc::make_mut(process);
            // One that comes too late, or to a sender that was another when it was asked, is refused.
            let _ = process.hear(self.now, from as u16, &letter.body);
            process.changes().into_iter().for_each(tell);
        }
    }

    pub fn reload(&mut self, i: usize, rules: Rules) {
        if let Some(process) = &mut self.nodes[i].process {
            let _ = Arc::make_mut(process).reload(self.now, rules);
        }
    }

    pub fn kill(&mut self, i: usize, folder_too: bool) {
        let node = &mut self.nodes[i];
        (node.process, node.stopped) = (None, false);
        if folder_too {
            node.folder = None;
            node.counts.clear();
        }
    }

    pub fn restart(&mut self, i: usize, file: &Rules) {
        let announce_ms = self.announce_ms;
        let settings = Settings { announce_ms, ..settings(i as u16, self.nodes.len() as u16) };
        self.nodes[i].start(settings, Some(file.clone()), self.now);
    }

    fn judge(&mut self) {
        let half = self.nodes.len() / 2;
        let mut now: BTreeMap<u64, usize> = BTreeMap::new();
        for (i, node) in self.nodes.iter().enumerate() {
            for &revision in &node.counts {
                *now.entry(revision).or_default() += 1;
                self.judge.stood.entry(revision).or_default().insert(i);
            }
        }
        for (&revision, _) in now.iter().filter(|&(_, &count)| count > half) {
            self.judge.since.entry(revision).or_insert(self.now);
        }
        let stood = self.judge.stood.iter().filter(|(_, who)| who.len() > half);
        self.judge.ever.extend(stood.map(|(&revision, _)| revision));
    }

    /// The halls in which `i` would act for the tenant now.
    pub fn acts(&self, i: usize) -> HallMask {
        let node = &self.nodes[i];
        match &node.process {
            Some(process) if !node.stopped => match process.open_halls(self.now, tenant()) {
                Open::Halls(mask) => mask,
                Open::Closed(_) => HallMask(0),
                Open::Unruled => HallMask(u32::MAX),
            },
            _ => HallMask(0),
        }
    }

    /// Whether nobody acts outside what a revision allows that was in force lately: of those that more than half have
    /// held, all but the ones below one that has been in force for a lease.
    pub fn nobody_acts_outside(&self, of: impl Fn(u64) -> HallMask) -> bool {
        let ran_out = self.judge.since.iter().filter(|&(_, &since)| self.now >= since + LEASE_MS);
        let least = ran_out.map(|(&revision, _)| revision).max().unwrap_or(0);
        let allowed = self.judge.ever.range(least..).fold(0, |mask, &revision| mask | of(revision).0);
        (0..self.nodes.len()).all(|i| self.acts(i).0 & !allowed == 0)
    }
}

impl Node {
    pub fn start(&mut self, settings: Settings, file: Option<Rules>, now: u64) {
        let record = self.folder.as_ref().map(|bytes| Record::restore(bytes, &key()).unwrap());
        self.incarnation += 1;
        let process = Placement::new(settings, file, record, self.incarnation, now).unwrap();
        self.process = Some(Arc::new(process));
    }
}
