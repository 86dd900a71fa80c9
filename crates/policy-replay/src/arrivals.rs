//! New inputs of an instance: its start and end, list changes, messages, and inputs that are late or unknown.

use crate::attempt::{AttemptOutcome, MessageInput};
use crate::host::Host;
use crate::input::Input;
use crate::instance::MessageState;
use crate::list::{DESTINATIONS, ListEntry, ListUpdate};
use crate::policy_only;
use crate::receivers::TICKS_PER_MS;

/// Number of classes in the settings of the instances.
const CLASSES: u64 = 7;
/// The destination of most messages of a steady session.
const MAIN_DESTINATION: u16 = 3;

impl Host<'_> {
    /// Everything new for an instance in this batch.
    pub fn new_inputs(&mut self, index: usize) -> Vec<Input> {
        let mut inputs = Vec::new();
        if !self.instances[index].is_up {
            if self.random.per_mille(100) {
                self.start(index, Vec::new(), &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(3) {
            let pending = self.instances[index].stop();
            if self.random.per_mille(500) {
                inputs.push(Input::PowerOff);
            } else {
                // A new one replaces it at once.
                self.start(index, pending, &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(25) {
            inputs.push(self.list_change());
        }
        for _ in 0..self.arrivals() {
            let message = self.message();
            self.instances[index].add(&message, 0);
            inputs.push(Input::Message(message));
        }
        inputs.extend(self.dropped(index));
        inputs.extend(self.unexpected());
        if self.session.policy_only_inputs {
            policy_only::new_inputs(self, index, &mut inputs);
        }
        inputs
    }

    fn start(&mut self, index: usize, pending: Vec<MessageState>, inputs: &mut Vec<Input>) {
        self.instances[index].is_up = true;
        inputs.push(Input::Start { seed: self.random.next(), settings: self.session.settings[index] });
        if self.session.policy_only_inputs {
            policy_only::modes(self, inputs);
        }
        let update = if self.random.per_mille(500) { ListUpdate::Full } else { ListUpdate::Cached };
        inputs.push(Input::List { update, entries: self.entries.clone() });
        if self.session.policy_only_inputs {
            policy_only::recover(self, index, pending, inputs);
        }
    }

    fn arrivals(&mut self) -> u64 {
        match self.random.below(100) {
            _ if self.session.steady => self.random.below(3),
            0..3 => self.random.between(5, 25),
            3..40 => self.random.between(1, 2),
            _ => 0,
        }
    }

    /// A new message, sometimes of an unknown class, tenant or destination.
    pub fn message(&mut self) -> MessageInput {
        let id = self.next_message;
        self.next_message += 1;
        let class = if self.random.per_mille(5) { 200 } else { self.random.below(CLASSES) as u8 };
        let tenant = self.random.below(3) as u32;
        let ordering_key = if self.random.per_mille(700) { self.random.between(1, 6) } else { 0 };
        let time_left = self.random.between(400, 9_000) as f64;
        let work_estimate = self.random.per_mille(400).then_some(500.0);
        let to_main = self.session.steady && self.random.per_mille(500);
        let drawn = self.random.below(DESTINATIONS + 1) as u16;
        let destination = if to_main { MAIN_DESTINATION } else { drawn };
        MessageInput { id, class, tenant, ordering_key, time_left, work_estimate, destination }
    }

    fn dropped(&mut self, index: usize) -> Option<Input> {
        let messages = self.instances[index].messages.iter();
        let pending: Vec<u32> = messages.filter(|(_, state)| !state.completed).map(|(id, _)| *id).collect();
        if pending.is_empty() || !self.random.per_mille(30) {
            return None;
        }
        let id = self.random.pick(&pending);
        self.instances[index].complete(id);
        Some(Input::Dropped { id })
    }

    /// The result of a health check, a datagram of another instance, or an input with an unknown id.
    fn unexpected(&mut self) -> Option<Input> {
        let id = self.random.between(1, u64::from(self.next_message) + 5) as u32;
        let attempt = 99;
        match self.random.below(400) {
            0..8 => Some(Input::Peer),
            8..20 => {
                let route = self.any_entry().route;
                Some(Input::HealthChecked { route, outcome: self.random.pick(&AttemptOutcome::OF_CALLS) })
            }
            20 => Some(Input::Wake { token: self.random.below(1_000) }),
            21 => Some(Input::Started { id, attempt }),
            22 => Some(Input::Outcome {
                id,
                attempt,
                outcome: AttemptOutcome::Ok,
                retry_after: 0,
                completed: false,
            }),
            23 => Some(Input::Dropped { id: self.next_message + 1_000_000 }),
            _ => None,
        }
    }

    /// An entry of the list, drawn evenly.
    pub fn any_entry(&mut self) -> &ListEntry {
        let at = self.random.below(self.entries.len() as u64) as usize;
        &self.entries[at]
    }

    fn list_change(&mut self) -> Input {
        match self.random.below(10) {
            0 => Input::List { update: ListUpdate::Failed, entries: Vec::new() },
            1 => Input::List { update: ListUpdate::Full, entries: self.entries.clone() },
            2 => Input::List { update: ListUpdate::Cached, entries: self.part_of_list() },
            3 => Input::List { update: ListUpdate::Full, entries: self.part_of_list() },
            4 => self.new_entry(),
            _ => self.changed_entry(),
        }
    }

    /// The list without some of its entries: a complete list removes these.
    fn part_of_list(&mut self) -> Vec<ListEntry> {
        let mut entries = self.entries.clone();
        entries.retain(|_| !self.random.per_mille(150));
        entries
    }

    fn new_entry(&mut self) -> Input {
        let destination = self.random.below(DESTINATIONS) as u16;
        let number = 16 + self.random.below(4);
        let entry = ListEntry::draw(destination, number, &mut self.random);
        if !self.entries.iter().any(|known| known.route == entry.route) {
            self.entries.push(entry.clone());
        }
        Input::List { update: ListUpdate::Delta, entries: vec![entry] }
    }

    fn changed_entry(&mut self) -> Input {
        let at = self.random.below(self.entries.len() as u64) as usize;
        self.entries[at].listing = self.random.pick(&[0, 1, 1, 1, 2]);
        Input::List { update: ListUpdate::Delta, entries: vec![self.entries[at].clone()] }
    }

    /// Schedules the list that follows a subscription, or its failure.
    pub fn subscribe(&mut self, index: usize) {
        let after = self.random.between(20, 100) * TICKS_PER_MS;
        let input = if self.random.per_mille(300) {
            Input::List { update: ListUpdate::Failed, entries: Vec::new() }
        } else {
            Input::List { update: ListUpdate::Full, entries: self.entries.clone() }
        };
        self.schedule(index, after, input);
    }
}
