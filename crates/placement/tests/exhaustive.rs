//! Three senders and one change of the rules for a few rounds: every order and loss of datagrams, duplicates, a kill with
//! or without loss of the record, and a pause.
mod simulation;

use std::collections::BTreeSet;

use rudderspindle_placement::{OutgoingDatagram, RuleSet, ZoneSet};
use simulation::{Simulation, rules};
use stateright::{Checker, Model, Property};

/// Maximum number of each fault in one history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Faults {
    kills: u8,
    pauses: u8,
    duplicates: u8,
    /// Datagrams that arrive a step late, out of order.
    delays: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    simulation: Simulation,
    /// Datagrams in flight with their senders; those that are not delayed are lost at the next step.
    in_flight: BTreeSet<(usize, OutgoingDatagram)>,
    delayed: BTreeSet<(usize, OutgoingDatagram)>,
    /// The sender whose turn it is within the step. Datagrams are sent only at its start, so that the order of senders within a
    /// step makes no difference.
    turn: usize,
    faults: Faults,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Pass,
    Delay(usize, OutgoingDatagram),
    Deliver(usize, OutgoingDatagram),
    Duplicate(usize, OutgoingDatagram),
    Kill { lose_record: bool },
    Restart,
    Pause,
    Resume,
}

struct RuleChange {
    first: RuleSet,
    second: RuleSet,
    /// The senders that read the second revision at the start.
    readers: Vec<usize>,
    faults: Faults,
    duration_ms: u64,
}

impl RuleChange {
    fn allowed(&self, revision: u64) -> ZoneSet {
        let rules = if revision == 1 { &self.first } else { &self.second };
        rules.zones_of(simulation::tenant()).unwrap()
    }

    fn check(self) {
        let checker = self.checker().threads(3).spawn_bfs().join();
        println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
        checker.assert_properties();
    }
}

impl Model for RuleChange {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut simulation = Simulation::committed(3, &self.first);
        for &index in &self.readers {
            simulation.reload(index, self.second.clone());
        }
        let (in_flight, delayed) = (BTreeSet::new(), BTreeSet::new());
        let mut state = State { simulation, in_flight, delayed, turn: 0, faults: self.faults };
        state.tick();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.turn < 2 || state.simulation.now_ms < simulation::START_MS + self.duration_ms {
            actions.push(Action::Pass);
        }
        let node = &state.simulation.nodes[state.turn];
        let faults = state.faults;
        if node.process.is_none() {
            actions.push(Action::Restart);
            return;
        }
        if node.paused {
            actions.push(Action::Resume);
            return;
        }
        if faults.kills > 0 {
            actions.extend([Action::Kill { lose_record: false }, Action::Kill { lose_record: true }]);
        }
        if faults.pauses > 0 {
            actions.push(Action::Pause);
        }
        for (from, datagram) in
            state.in_flight.iter().filter(|(_, datagram)| usize::from(datagram.to.0) == state.turn)
        {
            actions.push(Action::Deliver(*from, datagram.clone()));
            if faults.duplicates > 0 {
                actions.push(Action::Duplicate(*from, datagram.clone()));
            }
            if faults.delays > 0 {
                actions.push(Action::Delay(*from, datagram.clone()));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let turn = state.turn;
        match action {
            Action::Pass if turn < 2 => state.turn += 1,
            Action::Pass => {
                state.turn = 0;
                state.simulation.advance();
                state.tick();
            }
            Action::Deliver(from, datagram) => {
                state.simulation.deliver(from, &datagram);
                state.in_flight.remove(&(from, datagram));
            }
            Action::Duplicate(from, datagram) => {
                state.simulation.deliver(from, &datagram);
                state.faults.duplicates -= 1;
            }
            Action::Delay(from, datagram) => {
                state.in_flight.remove(&(from, datagram.clone()));
                state.delayed.insert((from, datagram));
                state.faults.delays -= 1;
            }
            Action::Kill { lose_record } => {
                state.simulation.kill(turn, lose_record);
                state.faults.kills -= 1;
            }
            Action::Restart => state.simulation.restart(turn, &self.first),
            Action::Pause => {
                state.simulation.nodes[turn].paused = true;
                state.faults.pauses -= 1;
            }
            Action::Resume => state.simulation.nodes[turn].paused = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts outside", |change: &RuleChange, state: &State| {
                state.simulation.nobody_acts_outside(|revision| change.allowed(revision))
            }),
            Property::sometimes("the others act by the new rules", |change: &RuleChange, state: &State| {
                let new_zones = change.allowed(2);
                state.simulation.acting_zones(1) == new_zones && state.simulation.acting_zones(2) == new_zones
            }),
        ]
    }
}

impl State {
    fn tick(&mut self) {
        self.in_flight = std::mem::take(&mut self.delayed);
        self.in_flight.extend(self.simulation.tick());
    }
}

fn narrower(faults: Faults, duration_ms: u64) -> RuleChange {
    let (first, second) = (rules(1, &["hall-a", "hall-b"]), rules(2, &["hall-a"]));
    // Two of three have read the new file, so it is committed immediately; the third one and restarted ones have the old file.
    RuleChange { first, second, readers: vec![0, 1], faults, duration_ms }
}

const NONE: Faults = Faults { kills: 0, pauses: 0, duplicates: 0, delays: 0 };

#[test]
fn no_sender_acts_outside_a_narrower_rule_whatever_is_lost_and_one_killed_with_or_without_its_record() {
    narrower(Faults { kills: 1, ..NONE }, 1_500).check();
}

#[test]
fn no_sender_acts_outside_a_narrower_rule_when_one_is_paused_and_datagrams_come_late_or_twice() {
    narrower(Faults { pauses: 1, duplicates: 1, delays: 1, ..NONE }, 1_000).check();
}

#[test]
fn one_senders_wider_file_opens_nothing_before_a_majority_acknowledges_it() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    RuleChange { first, second, readers: vec![0], faults: Faults { delays: 1, ..NONE }, duration_ms: 1_900 }
        .check();
}

#[test]
fn a_wider_file_opens_nothing_by_a_sender_that_lost_its_record_and_one_that_came_later() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    RuleChange {
        first,
        second,
        readers: vec![0],
        faults: Faults { kills: 1, delays: 1, ..NONE },
        duration_ms: 1_400,
    }
    .check();
}
