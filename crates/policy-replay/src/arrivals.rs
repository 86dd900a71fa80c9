//! New inputs of an instance: start and stop, list changes, messages, and inputs that are late or have
//! unknown ids.

use crate::attempt::{AttemptOutcome, MessageInput};
use crate::host::Host;
use crate::input::Input;
use crate::instance::MessageState;
use crate::list::{DESTINATIONS, ListEntry, ListUpdate};
use crate::policy_only;
use crate::receivers::TICKS_PER_MS;

/// Number of message classes in the settings of each instance.
const CLASSES: u64 = 7;
/// Destination of about half of the messages in a steady session.
const MAIN_DESTINATION: u16 = 3;

impl Host<'_> {
    /// Returns the inputs of an instance in this batch, without those that were scheduled before.
    pub fn new_inputs(&mut self, instance_index: usize) -> Vec<Input> {
        let mut inputs = Vec::new();
        if !self.instances[instance_index].is_up {
            if self.random.per_mille(100) {
                self.start_instance(instance_index, Vec::new(), &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(3) {
            let pending = self.instances[instance_index].stop();
            if self.random.per_mille(500) {
                inputs.push(Input::PowerOff);
            } else {
                // A new instance replaces the stopped one at once.
                self.start_instance(instance_index, pending, &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(25) {
            inputs.push(self.list_change());
        }
        for _ in 0..self.message_count() {
            let message = self.new_message();
            self.instances[instance_index].add(&message, 0);
            inputs.push(Input::Message(message));
        }
        inputs.extend(self.dropped_message(instance_index));
        inputs.extend(self.unrequested_input());
        if self.session.policy_only_inputs {
            policy_only::push_new_inputs(self, instance_index, &mut inputs);
        }
        inputs
    }

    fn start_instance(&mut self, instance_index: usize, pending: Vec<MessageState>, inputs: &mut Vec<Input>) {
        self.instances[instance_index].is_up = true;
        inputs
            .push(Input::Start { seed: self.random.next(), settings: self.session.settings[instance_index] });
        if self.session.policy_only_inputs {
            policy_only::push_modes(self, inputs);
        }
        let update = if self.random.per_mille(500) { ListUpdate::Full } else { ListUpdate::Cached };
        inputs.push(Input::List { update, entries: self.entries.clone() });
        if self.session.policy_only_inputs {
            policy_only::push_recovered_state(self, instance_index, pending, inputs);
        }
    }

    fn message_count(&mut self) -> u64 {
        match self.random.below(100) {
            _ if self.session.steady => self.random.below(3),
            0..3 => self.random.between(5, 25),
            3..40 => self.random.between(1, 2),
            _ => 0,
        }
    }

    /// Returns a new message, sometimes of an unknown class, tenant or destination.
    pub fn new_message(&mut self) -> MessageInput {
        let id = self.next_message;
        self.next_message += 1;
        let class = if self.random.per_mille(5) { 200 } else { self.random.below(CLASSES) as u8 };
        let tenant = self.random.below(3) as u32;
        let ordering_key = if self.random.per_mille(700) { self.random.between(1, 6) } else { 0 };
        let time_left = self.random.between(400, 9_000) as f64;
        let work_estimate = self.random.per_mille(400).then_some(500.0);
        let to_main = self.session.steady && self.random.per_mille(500);
        let random_destination = self.random.below(DESTINATIONS + 1) as u16;
        let destination = if to_main { MAIN_DESTINATION } else { random_destination };
        MessageInput { id, class, tenant, ordering_key, time_left, work_estimate, destination }
    }

    fn dropped_message(&mut self, instance_index: usize) -> Option<Input> {
        let messages = self.instances[instance_index].messages.iter();
        let pending: Vec<u32> = messages.filter(|(_, state)| !state.completed).map(|(id, _)| *id).collect();
        if pending.is_empty() || !self.random.per_mille(30) {
            return None;
        }
        let id = self.random.pick(&pending);
        self.instances[instance_index].complete(id);
        Some(Input::Dropped { id })
    }

    /// Returns, at random, an input that the policy did not request: the result of a health check, a datagram
    /// of another instance, or an input with an unknown id.
    fn unrequested_input(&mut self) -> Option<Input> {
        let id = self.random.between(1, u64::from(self.next_message) + 5) as u32;
        let attempt = 99;
        match self.random.below(400) {
            0..8 => Some(Input::Peer),
            8..20 => {
                let route = self.random_entry().route;
                Some(Input::HealthChecked {
                    route,
                    outcome: self.random.pick(&AttemptOutcome::HEALTH_CHECK_OUTCOMES),
                })
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

    /// Returns a random entry of the list.
    pub fn random_entry(&mut self) -> &ListEntry {
        let entry_index = self.random.below(self.entries.len() as u64) as usize;
        &self.entries[entry_index]
    }

    fn list_change(&mut self) -> Input {
        match self.random.below(10) {
            0 => Input::List { update: ListUpdate::Failed, entries: Vec::new() },
            1 => Input::List { update: ListUpdate::Full, entries: self.entries.clone() },
            2 => Input::List { update: ListUpdate::Cached, entries: self.partial_list() },
            3 => Input::List { update: ListUpdate::Full, entries: self.partial_list() },
            4 => self.add_entry(),
            _ => self.change_entry(),
        }
    }

    /// Returns the list without some of its entries. Sent as a complete list, it removes these entries.
    fn partial_list(&mut self) -> Vec<ListEntry> {
        let mut entries = self.entries.clone();
        entries.retain(|_| !self.random.per_mille(150));
        entries
    }

    fn add_entry(&mut self) -> Input {
        let destination = self.random.below(DESTINATIONS) as u16;
        let number = 16 + self.random.below(4);
        let entry = ListEntry::draw(destination, number, &mut self.random);
        if !self.entries.iter().any(|known| known.route == entry.route) {
            self.entries.push(entry.clone());
        }
        Input::List { update: ListUpdate::Delta, entries: vec![entry] }
    }

    fn change_entry(&mut self) -> Input {
        let entry_index = self.random.below(self.entries.len() as u64) as usize;
        self.entries[entry_index].listing = self.random.pick(&[0, 1, 1, 1, 2]);
        Input::List { update: ListUpdate::Delta, entries: vec![self.entries[entry_index].clone()] }
    }

    /// Schedules the response to a subscription: a complete list or a failure.
    pub fn subscribe(&mut self, instance_index: usize) {
        let delay_ticks = self.random.between(20, 100) * TICKS_PER_MS;
        let input = if self.random.per_mille(300) {
            Input::List { update: ListUpdate::Failed, entries: Vec::new() }
        } else {
            Input::List { update: ListUpdate::Full, entries: self.entries.clone() }
        };
        self.schedule(instance_index, delay_ticks, input);
    }
}
