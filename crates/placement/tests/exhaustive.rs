//! Three senders, one change of the rules, every order and loss of notes, doubles, a kill with or without the folder, a
//! stop: all of it, for a few rounds.
mod world;

use std::collections::BTreeSet;

use rudderspindle_placement::{HallMask, Letter, Rules};
use stateright::{Checker, Model, Property};
use world::{World, rules};

/// How often each fault may come in one history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Faults {
    kills: u8,
    stops: u8,
    doubles: u8,
    /// Notes that come a step late, out of order.
    late: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    world: World,
    /// Notes on the way: lost at the next step but for those that are late.
    notes: BTreeSet<(usize, Letter)>,
    late: BTreeSet<(usize, Letter)>,
    /// Whose turn it is within the step. Notes leave at its start only, so that what happens to one sender within a step
    /// changes nothing for the others: the orders among different senders are all alike.
    turn: usize,
    faults: Faults,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Pass,
    Late(usize, Letter),
    Deliver(usize, Letter),
    Double(usize, Letter),
    Kill { folder_too: bool },
    Restart,
    Stop,
    Continue,
}

struct Change {
    first: Rules,
    second: Rules,
    /// Who reads the second revision at the start.
    files: Vec<usize>,
    faults: Faults,
    until: u64,
}

impl Change {
    fn allowed(&self, revision: u64) -> HallMask {
        let rules = if revision == 1 { &self.first } else { &self.second };
        rules.halls_of(world::tenant()).unwrap()
    }

    fn check(self) {
        let checker = self.checker().threads(3).spawn_bfs().join();
        println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
        checker.assert_properties();
    }
}

impl Model for Change {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut world = World::in_force(3, &self.first);
        for &i in &self.files {
            world.reload(i, self.second.clone());
        }
        let (notes, late) = (BTreeSet::new(), BTreeSet::new());
        let mut state = State { world, notes, late, turn: 0, faults: self.faults };
        state.tick();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.turn < 2 || state.world.now < world::START + self.until {
            actions.push(Action::Pass);
        }
        let node = &state.world.nodes[state.turn];
        let faults = state.faults;
        if node.process.is_none() {
            actions.push(Action::Restart);
            return;
        }
        if node.stopped {
            actions.push(Action::Continue);
            return;
        }
        if faults.kills > 0 {
            actions.extend([Action::Kill { folder_too: false }, Action::Kill { folder_too: true }]);
        }
        if faults.stops > 0 {
            actions.push(Action::Stop);
        }
        for (from, letter) in state.notes.iter().filter(|(_, letter)| usize::from(letter.to) == state.turn) {
            actions.push(Action::Deliver(*from, letter.clone()));
            if faults.doubles > 0 {
                actions.push(Action::Double(*from, letter.clone()));
            }
            if faults.late > 0 {
                actions.push(Action::Late(*from, letter.clone()));
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
                state.world.advance();
                state.tick();
            }
            Action::Deliver(from, letter) => {
                state.world.deliver(from, &letter);
                state.notes.remove(&(from, letter));
            }
            Action::Double(from, letter) => {
                state.world.deliver(from, &letter);
                state.faults.doubles -= 1;
            }
            Action::Late(from, letter) => {
                state.notes.remove(&(from, letter.clone()));
                state.late.insert((from, letter));
                state.faults.late -= 1;
            }
            Action::Kill { folder_too } => {
                state.world.kill(turn, folder_too);
                state.faults.kills -= 1;
            }
            Action::Restart => state.world.restart(turn, &self.first),
            Action::Stop => {
                state.world.nodes[turn].stopped = true;
                state.faults.stops -= 1;
            }
            Action::Continue => state.world.nodes[turn].stopped = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts outside", |change: &Change, state: &State| {
                state.world.nobody_acts_outside(|revision| change.allowed(revision))
            }),
            Property::sometimes("the others act by the new rules", |change: &Change, state: &State| {
                let new = change.allowed(2);
                state.world.acts(1) == new && state.world.acts(2) == new
            }),
        ]
    }
}

impl State {
    fn tick(&mut self) {
        self.notes = std::mem::take(&mut self.late);
        self.notes.extend(self.world.tick());
    }
}

fn narrower(faults: Faults, until: u64) -> Change {
    let (first, second) = (rules(1, &["hall-a", "hall-b"]), rules(2, &["hall-a"]));
    // Two of three have read the new file, so it is in force at once, and the third and any that starts anew have the old.
    Change { first, second, files: vec![0, 1], faults, until }
}

const NONE: Faults = Faults { kills: 0, stops: 0, doubles: 0, late: 0 };

#[test]
fn no_sender_acts_outside_a_narrower_rule_whatever_is_lost_and_one_killed_with_or_without_its_folder() {
    narrower(Faults { kills: 1, ..NONE }, 1_500).check();
}

#[test]
fn no_sender_acts_outside_a_narrower_rule_when_one_stops_and_goes_on_and_notes_come_late_or_twice() {
    narrower(Faults { stops: 1, doubles: 1, late: 1, ..NONE }, 1_000).check();
}

#[test]
fn one_senders_wider_file_opens_nothing_before_more_than_half_hold_it() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    Change { first, second, files: vec![0], faults: Faults { late: 1, ..NONE }, until: 1_900 }.check();
}

#[test]
fn a_wider_file_opens_nothing_by_a_holder_that_lost_its_folder_and_one_that_came_later() {
    let (first, second) = (rules(1, &["hall-a"]), rules(2, &["hall-a", "hall-b"]));
    Change { first, second, files: vec![0], faults: Faults { kills: 1, late: 1, ..NONE }, until: 1_400 }
        .check();
}
