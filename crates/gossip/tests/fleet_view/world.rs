//! Many senders' views, joined by a wire that loses, doubles, delays, cuts and replays, stepped from a seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rudderspindle_gossip::{
    DatagramBudget, DatagramClass, EPOCH, FleetView, Incarnation, Kind, LocalSender, OutgoingDatagram,
};

/// Messages a second of one sender at most.
pub const MAX_MESSAGES_PER_SECOND: u32 = 100;
pub const START: u64 = 1_700_000_000_000;
const STEP: u64 = 50;
/// Notes that are kept to be replayed.
const LOGGED: usize = 4_000;

pub struct Sender {
    pub views: FleetView,
    post: DatagramBudget,
    kept: Option<Incarnation>,
    /// Its clock is ahead by so much, ms.
    pub ahead: i64,
    pub runs: bool,
}

pub struct World {
    pub now: u64,
    pub senders: Vec<Sender>,
    halls: Vec<u16>,
    /// Chances of a note.
    pub lost: f64,
    pub doubled: f64,
    pub replayed: f64,
    /// From, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// By when it arrives.
    wire: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    log: VecDeque<(u64, usize, usize, Vec<u8>)>,
    /// By epoch of each sender's own clock, and tenant.
    pub truth: BTreeMap<(u64, u16), u64>,
    handed_in: BTreeMap<(usize, u64), u32>,
    /// Notes sent, by sender and whole second.
    pub sent: BTreeMap<(usize, u64), u64>,
    seed: u64,
}

fn post() -> DatagramBudget {
    DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }])
}

fn views(number: usize, halls: &[u16], incarnation: Incarnation) -> FleetView {
    let local = LocalSender {
        number,
        incarnation,
        complete_from: incarnation.0,
        max_messages_per_second: MAX_MESSAGES_PER_SECOND,
    };
    FleetView::new(local, halls.to_vec()).expect("one of the tier")
}

impl World {
    pub fn new(halls: &[u16], seed: u64) -> Self {
        let incarnation = Incarnation(START - 10_000);
        let sender = |me| Sender {
            views: views(me, halls, incarnation),
            post: post(),
            kept: Some(incarnation),
            ahead: 0,
            runs: true,
        };
        Self {
            now: START,
            senders: (0..halls.len()).map(sender).collect(),
            halls: halls.to_vec(),
            lost: 0.0,
            doubled: 0.0,
            replayed: 0.0,
            cut: BTreeSet::new(),
            wire: BTreeMap::new(),
            log: VecDeque::new(),
            truth: BTreeMap::new(),
            handed_in: BTreeMap::new(),
            sent: BTreeMap::new(),
            seed,
        }
    }

    /// SplitMix64.
    pub fn draw(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn chance(&mut self, of: f64) -> bool {
        ((self.draw() >> 11) as f64 / (1_u64 << 53) as f64) < of
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.senders[n].ahead)
    }

    /// A message, unless the sender takes on no more or does not run.
    pub fn hand_in(&mut self, n: usize, tenant: u16) {
        let (clock, epoch) = (self.clock(n), self.clock(n) / EPOCH);
        let so_far = self.handed_in.entry((n, epoch)).or_default();
        if self.senders[n].runs && *so_far < MAX_MESSAGES_PER_SECOND {
            *so_far += 1;
            *self.truth.entry((epoch, tenant)).or_default() += 1;
            self.senders[n].views.counts().record_message(clock, tenant);
        }
    }

    /// Killed, and back at once on its folder, or with an empty one.
    pub fn restart(&mut self, n: usize, on_folder: bool) {
        let clock = self.clock(n);
        let kept = self.senders[n].kept.filter(|_| on_folder);
        let incarnation = Incarnation::next(kept, clock);
        let views = views(n, &self.halls, incarnation);
        let ahead = self.senders[n].ahead;
        self.senders[n] = Sender { views, post: post(), kept: Some(incarnation), ahead, runs: true };
    }

    /// Puts a note on the wire.
    pub fn send(&mut self, from: usize, to: usize, note: Vec<u8>) {
        assert!(note.len() <= 256, "{} bytes", note.len());
        *self.sent.entry((from, self.now / 1_000)).or_default() += 1;
        let copies = if self.chance(self.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.chance(self.lost) && !self.cut.contains(&(from, to)) {
                let at = self.now + 1 + self.draw() % 150;
                let unique = self.draw();
                self.wire.insert((at, unique), (from, to, note.clone()));
            }
        }
        self.log.push_back((self.now, from, to, note));
        if self.log.len() > LOGGED {
            self.log.pop_front();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, note) = entry.remove();
            let clock = self.clock(to);
            if self.senders[to].runs {
                // What is refused changes nothing; the readings are what is checked.
                let _ = self.senders[to].views.hear(clock, from, &note);
            }
        }
        let replays = self.chance(self.replayed);
        let old = self.log.front().filter(|old| replays && old.0 + 60_000 <= self.now).cloned();
        if let Some((_, from, to, note)) = old {
            self.log.pop_front();
            self.wire.insert((self.now, 0), (from, to, note));
        }
        for n in 0..self.senders.len() {
            let clock = self.clock(n);
            let sender = &mut self.senders[n];
            if sender.runs {
                for OutgoingDatagram { to, bytes: note } in sender.views.notes_due(clock, &mut sender.post) {
                    self.send(n, to, note);
                }
            }
        }
    }

    /// Goes on for so long, ms; each 50 ms `each` is called first.
    pub fn run(&mut self, ms: u64, mut each: impl FnMut(&mut Self)) {
        for _ in 0..ms / STEP {
            each(self);
            self.step();
        }
    }
}
