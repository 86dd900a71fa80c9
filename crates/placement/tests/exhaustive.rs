//! Exhaustive check of three senders over a few rounds after one change of the rules: every order and loss of datagrams,
//! duplicates, a kill with or without loss of the record, and a pause.
mod simulation;

use std::collections::BTreeSet;

use rudderspindle_placement::{OutgoingDatagram, RuleSet, ZoneSet};
use simulation::{Simulation, rules};
use stateright::{Checker, Model, Property};

/// Maximum number of faults of each kind in one history; in a [`State`], the number of faults that may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Faults {
    kills: u8,
    pauses: u8,
    duplicates: u8,
    /// Datagrams that are delivered one step late, out of order.
    delays: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    simulation: Simulation,
    /// Datagrams in flight, each with its sender; those that are not delayed are lost at the next step.
    in_flight: BTreeSet<(usize, OutgoingDatagram)>,
    delayed: BTreeSet<(usize, OutgoingDatagram)>,
    /// The sender whose actions are next within the step. Datagrams are sent only at the start of a step, so that the order of
    /// senders within it makes no difference.
    active_sender: usize,
    faults: Faults,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Continue with the next sender, or with the next step after the last sender.
    Pass,
    Delay(usize, OutgoingDatagram),
    Deliver(usize, OutgoingDatagram),
    Duplicate(usize, OutgoingDatagram),
    Kill {
        lose_record: bool,
    },
    Restart,
    Pause,
    Resume,
}

/// The model: a fleet that has committed `first`, of which some senders reload `second`.
struct RuleChange {
    first: RuleSet,
    second: RuleSet,
    /// The senders that reload their file with `second` at the start.
    reloading_senders: Vec<usize>,
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
        println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
        checker.assert_properties();
    }
}

impl Model for RuleChange {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut simulation = Simulation::committed(3, &self.first);
        for &index in &self.reloading_senders {
            simulation.reload(index, self.second.clone());
        }
        let (in_flight, delayed) = (BTreeSet::new(), BTreeSet::new());
        let mut state = State { simulation, in_flight, delayed, active_sender: 0, faults: self.faults };
        state.tick();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.active_sender < 2 || state.simulation.now_ms < simulation::START_MS + self.duration_ms {
            actions.push(Action::Pass);
        }
        let node = &state.simulation.nodes[state.active_sender];
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
            state.in_flight.iter().filter(|(_, datagram)| usize::from(datagram.to.0) == state.active_sender)
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
        let active_sender = state.active_sender;
        match action {
            Action::Pass if active_sender < 2 => state.active_sender += 1,
            Action::Pass => {
                state.active_sender = 0;
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
                state.simulation.kill(active_sender, lose_record);
                state.faults.kills -= 1;
            }
            Action::Restart => state.simulation.restart(active_sender, &self.first),
            Action::Pause => {
                state.simulation.nodes[active_sender].paused = true;
                state.faults.pauses -= 1;
            }
            Action::Resume => state.simulation.nodes[active_sender].paused = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no sender acts outside the allowed zones",
                |change: &RuleChange, state: &State| {
                    state.simulation.nobody_acts_outside(|revision| change.allowed(revision))
                },
            ),
            Property::sometimes(
                "senders 1 and 2 act by the new rules",
                |change: &RuleChange, state: &State| {
                    let new_zones = change.allowed(2);
                    state.simulation.acting_zones(1) == new_zones
                        && state.simulation.acting_zones(2) == new_zones
                },
            ),
        ]
    }
}

impl State {
    fn tick(&mut self) {
        self.in_flight = std::mem::take(&mut self.delayed);
        self.in_flight.extend(self.simulation.tick());
    }
}

/// Two of three senders reload a narrower file.
fn narrower_rule(faults: Faults, duration_ms: u64) -> RuleChange {
    let (first, second) = (rules(1, &["hall-a", "hall-b"]), rules(2, &["hall-a"]));
    // The two are a majority, so that the revision is committed immediately. The third sender and restarted senders have the
    // old file.
    RuleChange { first, second, reloading_senders: vec![0, 1], faults, duration_ms }
}

const NO_FAULTS: Faults = Faults { kills: 0, pauses: 0, duplicates: 0, delays: 0 };

/// Any datagrams are lost, and one sender is killed, with or without loss of its record.
#[test]
fn no_sender_acts_outside_a_narrower_rule_after_losses_and_a_kill() {
    narrower_rule(Faults { kills: 1, ..NO_FAULTS }, 1_500).check();
}

/// One sender is paused, one datagram is delivered twice, and one is delayed.
#[test]
fn no_sender_acts_outside_a_narrower_rule_with_late_datagrams() {
    narrower_rule(Faults { pauses: 1, duplicates: 1, delays: 1, ..NO_FAULTS }, 1_000).check();
}

/// One of three senders reloads a wider file, and one datagram is delayed.
#[test]
fn a_wider_rule_does_not_apply_before_a_majority_acknowledges_it() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    RuleChange {
        first,
        second,
        reloading_senders: vec![0],
        faults: Faults { delays: 1, ..NO_FAULTS },
        duration_ms: 1_900,
    }
    .check();
}

/// One sender acknowledges the wider rule and loses its record, and another one acknowledges it later: that is no majority.
#[test]
fn acknowledgements_of_lost_records_do_not_apply_a_wider_rule() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    RuleChange {
        first,
        second,
        reloading_senders: vec![0],
        faults: Faults { kills: 1, delays: 1, ..NO_FAULTS },
        duration_ms: 1_400,
    }
    .check();
}
