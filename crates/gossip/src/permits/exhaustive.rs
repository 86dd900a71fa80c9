//! Model check of the permits of three senders at one limit: every order of offering, allocating, receiving, losing,
//! duplicating, killing and pausing, for two rounds and their terms, or one round and two faults, each a killed process or
//! a clock that is set back.
//!
//! Every permit is used as soon as it is usable, so that its use needs no action of its own. A paused process leaves out
//! offers and allocations and goes on later: any action may be left out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::rounds::PERMIT_VALIDITY;
use super::schedule::PermitSchedule;
use super::*;
use crate::demand_exchange::LocalDemand;

const SENDERS: usize = 3;
/// Limit of all senders, in calls a second: one or two permits for each in a term.
const LIMIT: f64 = 9.0;
/// Offers are sent in the middle of a round, grants at its start; datagrams are received at either.
const HALF_ROUND: u64 = ROUND / 2;
/// How often a sender looks for permits, in milliseconds: at least once while each is valid.
const POLL_INTERVAL: u64 = PERMIT_VALIDITY / 2;
/// Rounds without faults before the check, after which the allocators are known to be alive.
const WARM_UP_ROUNDS: u64 = 4;
const LIMIT_ID: LimitId = LimitId(7);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Process {
    sender: usize,
    incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A permit that two processes used.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DoubleUse {
    number: u64,
    processes: [Process; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    wall: u64,
    /// `None` while no process of a sender runs.
    ledgers: Vec<Option<PermitLedger>>,
    incarnations: [u64; SENDERS],
    /// How far each clock was set back, in milliseconds.
    clock_lag: [u64; SENDERS],
    faults: u32,
    /// Everything that was sent: each datagram may be received never, once or again, in any order.
    network: BTreeSet<Datagram>,
    used: BTreeMap<u64, Process>,
    double_use: Option<DoubleUse>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    PassTime,
    Offer(usize),
    Allocate(usize),
    Receive(Datagram),
    Kill(usize),
    Start(usize),
    SetClockBack(usize),
}

struct Cluster {
    /// The first round in which anything may go wrong.
    first_round: u64,
    /// Number of rounds with offers, from the first on.
    rounds: u64,
    /// Maximum number of killed processes and clocks set back.
    max_faults: u32,
}

impl State {
    fn new(first_round: u64) -> Self {
        let wall = (first_round - WARM_UP_ROUNDS) * ROUND;
        let ledger = |sender| Some(PermitLedger::new(sender, SENDERS, Incarnation(1), wall));
        let mut state = Self {
            wall,
            ledgers: (0..SENDERS).map(ledger).collect(),
            incarnations: [1; SENDERS],
            clock_lag: [0; SENDERS],
            faults: 0,
            network: BTreeSet::new(),
            used: BTreeMap::new(),
            double_use: None,
        };
        while state.wall < first_round * ROUND {
            (0..SENDERS).for_each(|sender| state.offer(sender));
            (0..SENDERS).for_each(|sender| state.allocate(sender));
            while let Some(datagram) = state.network.pop_first() {
                state.receive(&datagram);
            }
            state.pass_time();
        }
        state
    }

    fn clock(&self, sender: usize) -> u64 {
        self.wall - self.clock_lag[sender]
    }

    /// One sender releases all its permits, the other two need all of them, in rotation.
    fn offer(&mut self, sender: usize) {
        let clock = self.clock(sender);
        // By the true time: a sender whose clock was set back needs another number in the same round.
        let demand = if (self.wall / ROUND) as usize % SENDERS == sender { 0.0 } else { 30.0 };
        let demand =
            LocalDemand { limit_id: LIMIT_ID, limit: LIMIT, demand, calls: 0, rejected: 0, failed: 0 };
        let offer = self.ledgers[sender].as_mut().and_then(|ledger| ledger.offer(clock, &[demand]));
        self.send(sender, offer);
    }

    fn allocate(&mut self, sender: usize) {
        let clock = self.clock(sender);
        let grants = self.ledgers[sender].as_mut().map_or(Vec::new(), |ledger| ledger.allocate(clock));
        self.send(sender, grants);
    }

    fn send(&mut self, from: usize, datagrams: impl IntoIterator<Item = OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            self.network.insert(Datagram { from, to, bytes });
        }
    }

    fn receive(&mut self, datagram: &Datagram) {
        let clock = self.clock(datagram.to);
        if let Some(ledger) = &mut self.ledgers[datagram.to] {
            // Late and duplicate messages are dropped.
            let _ = ledger.receive(clock, datagram.from, &datagram.bytes);
        }
    }

    fn pass_time(&mut self) {
        for _ in 0..HALF_ROUND / POLL_INTERVAL {
            self.wall += POLL_INTERVAL;
            self.use_permits();
        }
        for sender in 0..SENDERS {
            let clock = self.clock(sender);
            if let Some(ledger) = &mut self.ledgers[sender] {
                ledger.observe_clock(clock);
            }
        }
    }

    /// Every sender uses the permits that it may.
    fn use_permits(&mut self) {
        for sender in 0..SENDERS {
            let clock = self.clock(sender);
            let process = Process { sender, incarnation: Incarnation(self.incarnations[sender]) };
            let ledger = self.ledgers[sender].as_ref();
            let permits = ledger.map_or(Vec::new(), |ledger| ledger.permits(clock, LIMIT_ID, 1.0));
            for permit in permits.iter().filter(|permit| permit.from <= clock) {
                let first = *self.used.entry(permit.number).or_insert(process);
                if first != process {
                    let processes = [first, process];
                    self.double_use = Some(DoubleUse { number: permit.number, processes });
                }
            }
        }
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State::new(self.first_round);
        state.used.clear();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.wall < (self.first_round + self.rounds + 2) * ROUND + HALF_ROUND {
            actions.push(Action::PassTime);
        }
        for sender in 0..SENDERS {
            if state.ledgers[sender].is_none() {
                actions.push(Action::Start(sender));
                continue;
            }
            if state.wall.is_multiple_of(ROUND) {
                actions.push(Action::Allocate(sender));
            } else if state.clock(sender) / ROUND < self.first_round + self.rounds {
                actions.push(Action::Offer(sender));
            }
            if state.faults < self.max_faults {
                actions.push(Action::SetClockBack(sender));
                // A process that starts by an earlier clock than the one before it knew breaks the bound (design note).
                actions.extend((state.clock_lag[sender] == 0).then_some(Action::Kill(sender)));
            }
        }
        actions.extend(state.network.iter().cloned().map(Action::Receive));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::PassTime => state.pass_time(),
            Action::Offer(sender) => state.offer(sender),
            Action::Allocate(sender) => state.allocate(sender),
            Action::Receive(datagram) => state.receive(&datagram),
            Action::Kill(sender) => {
                state.faults += 1;
                state.ledgers[sender] = None;
            }
            Action::Start(sender) => {
                state.incarnations[sender] += 1;
                let incarnation = Incarnation(state.incarnations[sender]);
                let ledger = PermitLedger::new(sender, SENDERS, incarnation, state.clock(sender));
                state.ledgers[sender] = Some(ledger);
            }
            Action::SetClockBack(sender) => {
                state.faults += 1;
                state.clock_lag[sender] += ROUND;
            }
        }
        state.use_permits();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no permit is used by two processes", |_, state: &State| {
                state.double_use.is_none()
            }),
            Property::sometimes("a granted permit is used", |_, state: &State| {
                let schedule = PermitSchedule::new(LIMIT_ID, LIMIT, SENDERS);
                state.used.iter().any(|(number, process)| schedule.owner(*number) != process.sender)
            }),
        ]
    }
}

/// Tries all orders and returns the number of states.
fn check(cluster: Cluster) -> usize {
    let start = Instant::now();
    let checker = cluster.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    println!("{} states, {:?}", checker.unique_state_count(), start.elapsed());
    checker.assert_properties();
    assert!(start.elapsed() < Duration::from_secs(120), "{:?}", start.elapsed());
    checker.unique_state_count()
}

#[test]
fn no_permit_is_used_by_two_processes_in_any_order_of_two_rounds() {
    assert!(check(Cluster { first_round: 100, rounds: 2, max_faults: 0 }) > 100_000);
}

#[test]
fn no_permit_is_used_by_two_processes_after_two_processes_are_killed_or_clocks_set_back() {
    assert!(check(Cluster { first_round: 100, rounds: 1, max_faults: 2 }) > 100_000);
}
