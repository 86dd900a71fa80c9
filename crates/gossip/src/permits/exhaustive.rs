//! Rights of three senders at one gate, in every order of offering, dealing, hearing, losing, doubling, killing and
//! standing still: two rounds and their terms, or one and two faults, each a process killed or a clock set back.
//!
//! Whoever may use a turn is taken to use it at once, so that which are used needs no orders of its own. Whoever stands
//! still leaves out offers and deals and goes on later: any step may be left out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::rounds::VALID;
use super::*;

const SENDERS: usize = 3;
/// Of all senders: one or two for each in a term.
const LIMIT: f64 = 9.0;
/// Offers leave in the middle of a round, deals at its beginning; whatever was sent is heard at either.
const MOMENT: u64 = ROUND / 2;
/// So often a sender looks for turns, ms: at least once while each may be used.
const LOOK: u64 = VALID / 2;
/// Rounds in which all hear all, before: whoever deals is known to be there then.
const CALM: u64 = 4;
const GATE: LimitId = LimitId(7);

type Process = (usize, Incarnation);
/// From whom, to whom.
type Note = (usize, usize, Vec<u8>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    wall: u64,
    /// None while no process of a sender runs.
    permits: Vec<Option<PermitLedger>>,
    begun: [u64; SENDERS],
    /// How much each clock was set back, ms.
    behind: [u64; SENDERS],
    faults: u32,
    /// Whatever was sent: each may be heard never, once or again, in any order.
    wire: BTreeSet<Note>,
    used: BTreeMap<u64, Process>,
    twice: Option<(u64, Process, Process)>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    TimePasses,
    PermitOffer(usize),
    Deal(usize),
    Hear(Note),
    Kill(usize),
    Begin(usize),
    SetBack(usize),
}

struct Tier {
    /// The first round in which not all goes well.
    first: u64,
    /// Rounds with offers, from the first on.
    rounds: u64,
    /// Kills and clocks set back, at most.
    faults: u32,
}

impl State {
    fn new(first: u64) -> Self {
        let wall = (first - CALM) * ROUND;
        let permits = |n| Some(PermitLedger::new(n, SENDERS, Incarnation(1), wall));
        let mut state = Self {
            wall,
            permits: (0..SENDERS).map(permits).collect(),
            begun: [1; SENDERS],
            behind: [0; SENDERS],
            faults: 0,
            wire: BTreeSet::new(),
            used: BTreeMap::new(),
            twice: None,
        };
        while state.wall < first * ROUND {
            (0..SENDERS).for_each(|n| state.offer(n));
            (0..SENDERS).for_each(|n| state.deal(n));
            while let Some(note) = state.wire.pop_first() {
                state.hear(&note);
            }
            state.pass();
        }
        state
    }

    fn clock(&self, n: usize) -> u64 {
        self.wall - self.behind[n]
    }

    /// One gives up all, the other two want all, each in its turn.
    fn offer(&mut self, n: usize) {
        let clock = self.clock(n);
        // By the true time: whoever was set back wants another number in the same round.
        let wanted = if (self.wall / ROUND) as usize % SENDERS == n { 0.0 } else { 30.0 };
        let own = Own { gate: GATE, limit: LIMIT, wanted, called: 0, refused: 0, failed: 0 };
        let datagram = self.permits[n].as_mut().and_then(|permits| permits.offer(clock, &[own]));
        self.wire.extend(datagram.map(|(to, note)| (n, to, note)));
    }

    fn deal(&mut self, n: usize) {
        let clock = self.clock(n);
        let datagrams = self.permits[n].as_mut().map_or(Vec::new(), |permits| permits.deal(clock));
        self.wire.extend(datagrams.into_iter().map(|(to, note)| (n, to, note)));
    }

    fn hear(&mut self, (from, to, note): &Note) {
        let clock = self.clock(*to);
        if let Some(permits) = &mut self.permits[*to] {
            // What comes too late, or twice, is dropped.
            let _ = permits.hear(clock, *from, note);
        }
    }

    fn pass(&mut self) {
        for _ in 0..MOMENT / LOOK {
            self.wall += LOOK;
            self.call();
        }
        for n in 0..SENDERS {
            let clock = self.clock(n);
            if let Some(permits) = &mut self.permits[n] {
                permits.look(clock);
            }
        }
    }

    /// All use what they may.
    fn call(&mut self) {
        for n in 0..SENDERS {
            let (clock, process) = (self.clock(n), (n, Incarnation(self.begun[n])));
            let turns =
                self.permits[n].as_ref().map_or(Vec::new(), |permits| permits.turns(clock, GATE, 1.0));
            for turn in turns.iter().filter(|turn| turn.from <= clock) {
                let first = *self.used.entry(turn.number).or_insert(process);
                if first != process {
                    self.twice = Some((turn.number, first, process));
                }
            }
        }
    }
}

impl Model for Tier {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State::new(self.first);
        state.used.clear();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.wall < (self.first + self.rounds + 2) * ROUND + MOMENT {
            actions.push(Action::TimePasses);
        }
        for n in 0..SENDERS {
            if state.permits[n].is_none() {
                actions.push(Action::Begin(n));
                continue;
            }
            if state.wall.is_multiple_of(ROUND) {
                actions.push(Action::Deal(n));
            } else if state.clock(n) / ROUND < self.first + self.rounds {
                actions.push(Action::PermitOffer(n));
            }
            if state.faults < self.faults {
                actions.push(Action::SetBack(n));
                // A process that begins by an earlier clock than the one before it knew breaks the bound (design note).
                actions.extend((state.behind[n] == 0).then_some(Action::Kill(n)));
            }
        }
        actions.extend(state.wire.iter().cloned().map(Action::Hear));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::TimePasses => state.pass(),
            Action::PermitOffer(n) => state.offer(n),
            Action::Deal(n) => state.deal(n),
            Action::Hear(note) => state.hear(&note),
            Action::Kill(n) => {
                state.faults += 1;
                state.permits[n] = None;
            }
            Action::Begin(n) => {
                state.begun[n] += 1;
                let incarnation = Incarnation(state.begun[n]);
                state.permits[n] = Some(PermitLedger::new(n, SENDERS, incarnation, state.clock(n)));
            }
            Action::SetBack(n) => {
                state.faults += 1;
                state.behind[n] += ROUND;
            }
        }
        state.call();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no turn is used by two processes", |_, state: &State| state.twice.is_none()),
            Property::sometimes("a turn that was lent is used", |_, state: &State| {
                let schedule = Schedule::new(GATE, LIMIT, SENDERS);
                state.used.iter().any(|(turn, process)| schedule.owner(*turn) != process.0)
            }),
        ]
    }
}

/// Tries all orders; how many states there are.
fn check(tier: Tier) -> usize {
    let began = Instant::now();
    let checker = tier.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    println!("{} states, {:?}", checker.unique_state_count(), began.elapsed());
    checker.assert_properties();
    assert!(began.elapsed() < Duration::from_secs(120), "{:?}", began.elapsed());
    checker.unique_state_count()
}

#[test]
fn no_turn_is_used_by_two_processes_in_any_order_of_two_rounds() {
    assert!(check(Tier { first: 100, rounds: 2, faults: 0 }) > 100_000);
}

#[test]
fn no_turn_is_used_by_two_processes_when_two_are_killed_or_their_clocks_set_back() {
    assert!(check(Tier { first: 100, rounds: 1, faults: 2 }) > 100_000);
}
