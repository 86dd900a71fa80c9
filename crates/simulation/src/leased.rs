//! Two ways to keep a fleet under a limit, in one small world without decision modules: rights that are given up before
//! the note leaves, and shares by sums under a lease. Played to choose between them; only the first one ships.

mod share;

use std::collections::{BTreeMap, VecDeque};

use rudderspindle_gossip::{Incarnation, LimitId, LocalDemand, PermitLedger};

use crate::partner::Draw;
use share::Share;

/// How the world goes on, ms since 1970 when it begins, and for how long.
const STEP: u64 = 5;
const DAWN: u64 = 1_700_000_000_000;
const LASTS: u64 = 60_000;
/// A message that has not gone by then is over, ms.
const LIFE: u64 = 4_000;
/// How long a note is under way, ms.
const UNDER_WAY: (f64, f64) = (1.5, 30.0);
/// After so long other senders are the busy ones, ms; a third of all gets nine tenths of what comes.
const MOVES: u64 = 1_500;
const BUSY: (f64, f64) = (1.0 / 3.0, 0.9);
/// What became of one way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Calls in the worst second over the limit.
    pub worst_second: f64,
    /// Calls over what could be called: all that came, at most the limit.
    pub used: f64,
}

/// One sender's part of the limit.
trait Allotted {
    type Note;
    /// What it tells whom, given what it wants; called every [`STEP`].
    fn tell(&mut self, wall: u64, wanted: f64) -> Vec<(usize, Self::Note)>;
    fn hear(&mut self, wall: u64, from: usize, note: Self::Note);
    /// Takes the right to one call, if there is one.
    fn call(&mut self, wall: u64) -> bool;
}

/// Rights, and the turns that were used.
struct Owner {
    permits: PermitLedger,
    gate: LimitId,
    limit: f64,
    used: BTreeMap<u64, u64>,
}

impl Allotted for Owner {
    type Note = Vec<u8>;

    fn tell(&mut self, wall: u64, wanted: f64) -> Vec<(usize, Vec<u8>)> {
        let mut datagrams = self.permits.allocate(wall);
        if self.permits.next_offer(wall - STEP) <= wall {
            let own = LocalDemand {
                limit_id: self.gate,
                limit: self.limit,
                demand: wanted,
                calls: 0,
                rejected: 0,
                failed: 0,
            };
            datagrams.extend(self.permits.offer(wall, &[own]));
        }
        datagrams.into_iter().map(|datagram| (datagram.to, datagram.bytes)).collect()
    }

    fn hear(&mut self, wall: u64, from: usize, note: Vec<u8>) {
        // What comes too late is dropped.
        let _ = self.permits.receive(wall, from, &note);
    }

    fn call(&mut self, wall: u64) -> bool {
        self.used.retain(|_, until| *until > wall);
        let turns = self.permits.permits(wall, self.gate, 1.0);
        let free = turns.iter().find(|turn| turn.from <= wall && !self.used.contains_key(&turn.number));
        free.is_some_and(|turn| self.used.insert(turn.number, turn.until).is_none())
    }
}

/// So many senders before a limit, calls a second, with so many messages a second over it for senders that change, and
/// with that share of the notes lost: by rights, and by shares under a lease.
pub fn options(senders: usize, limit: f64, load: f64, lost: f64, seed: u64) -> [Figures; 2] {
    let gate = LimitId::of(0, None);
    let permits = |n| PermitLedger::new(n, senders, Incarnation(1), DAWN);
    let owner = |n| Owner { permits: permits(n), gate, limit, used: BTreeMap::new() };
    let share = |n| Share::new(n, senders, limit);
    [
        play((0..senders).map(owner).collect(), limit, load, lost, seed),
        play((0..senders).map(share).collect(), limit, load, lost, seed),
    ]
}

fn play<A: Allotted>(mut all: Vec<A>, limit: f64, load: f64, lost: f64, seed: u64) -> Figures {
    let (mut comes, mut post) = (Draw::new(seed), Draw::new(seed ^ 0x9057));
    let mut waiting = vec![VecDeque::new(); all.len()];
    let mut under_way: Vec<(u64, usize, usize, A::Note)> = Vec::new();
    let (mut came, mut calls, mut first_busy) = (0.0, Vec::new(), 0);
    for wall in (DAWN..DAWN + LASTS).step_by(STEP as usize) {
        if wall % MOVES < STEP {
            first_busy = (comes.unit() * all.len() as f64) as usize;
        }
        let mut expected = load * limit * STEP as f64 / 1_000.0;
        while expected > 0.0 {
            let some = if comes.unit() < BUSY.1 { BUSY.0 } else { 1.0 };
            let to = (first_busy + (comes.unit() * some * all.len() as f64) as usize) % all.len();
            if comes.unit() < expected {
                waiting[to].push_back(wall);
                came += 1.0;
            }
            expected -= 1.0;
        }
        for (_, from, to, note) in under_way.extract_if(.., |n| n.0 <= wall).collect::<Vec<_>>() {
            all[to].hear(wall, from, note);
        }
        for (n, one) in all.iter_mut().enumerate() {
            waiting[n].retain(|at| at + LIFE > wall);
            for (to, note) in one.tell(wall, waiting[n].len() as f64) {
                let late = UNDER_WAY.0 + (UNDER_WAY.1 - UNDER_WAY.0) * post.unit();
                if post.unit() >= lost {
                    under_way.push((wall + late as u64, n, to, note));
                }
            }
            while !waiting[n].is_empty() && one.call(wall) {
                waiting[n].pop_front();
                calls.push(wall);
            }
        }
    }
    let before = |n: usize| calls.partition_point(|at| at + 1_000 <= calls[n]);
    let worst = (0..calls.len()).map(|n| n + 1 - before(n)).max().unwrap_or(0);
    let could = f64::min(came, limit * LASTS as f64 / 1_000.0);
    Figures { worst_second: worst as f64 / limit, used: calls.len() as f64 / could.max(1.0) }
}
