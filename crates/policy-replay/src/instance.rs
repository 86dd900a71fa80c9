//! State that the host keeps for a policy instance: its messages, and the inputs that are scheduled for it.

use std::collections::BTreeMap;

use crate::attempt::MessageInput;
use crate::input::Input;

/// A message that an instance has received.
#[derive(Debug)]
pub struct MessageState {
    pub message: MessageInput,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of the attempt in flight, from 0.
    pub in_flight: Option<u32>,
    /// The first attempt that the receiver may have executed.
    pub first_possible_execution: Option<SentAttempt>,
    /// The last attempt; default if there was none.
    pub last_attempt: SentAttempt,
    pub completed: bool,
    /// Whether a response has started to stream.
    pub streamed: bool,
}

/// Time and route of an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentAttempt {
    /// Time of the session's clock, in ticks.
    pub sent_at: u64,
    pub route: u64,
}

/// Time when an input is due, in ticks, and a sequence number that keeps inputs of the same tick in order.
type DueTime = (u64, u64);

/// The host's view of a policy instance.
#[derive(Debug, Default)]
pub struct Instance {
    pub is_up: bool,
    pub messages: BTreeMap<u32, MessageState>,
    scheduled_inputs: BTreeMap<DueTime, Input>,
}

impl Instance {
    /// Schedules an input for the tick `at`.
    pub fn schedule(&mut self, at: u64, sequence: u64, input: Input) {
        self.scheduled_inputs.insert((at, sequence), input);
    }

    /// Returns the tick when the next input is due.
    pub fn next_due_at(&self) -> Option<u64> {
        self.scheduled_inputs.keys().next().map(|&(at, _)| at)
    }

    /// Removes and returns the inputs that are due, without those of attempts that have already ended.
    pub fn take_due_inputs(&mut self, now: u64) -> Vec<Input> {
        let later = self.scheduled_inputs.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.scheduled_inputs, later);
        due.into_values().filter_map(|input| self.apply_input(input)).collect()
    }

    fn apply_input(&mut self, input: Input) -> Option<Input> {
        match input {
            Input::Outcome { id, attempt, outcome, completed, .. } => {
                let state = self.in_flight(id, attempt)?;
                state.in_flight = None;
                state.completed |= completed;
                let possibly_executed = outcome.is_possibly_executed().then_some(state.last_attempt);
                state.first_possible_execution = state.first_possible_execution.or(possibly_executed);
            }
            Input::Started { id, attempt } => self.in_flight(id, attempt)?.streamed = true,
            _ => {}
        }
        Some(input)
    }

    fn in_flight(&mut self, id: u32, attempt: u32) -> Option<&mut MessageState> {
        self.messages.get_mut(&id).filter(|state| state.in_flight == Some(attempt))
    }

    /// Adds a message that has had `attempts` attempts before.
    pub fn add(&mut self, message: &MessageInput, attempts: u32) {
        let state = MessageState {
            message: message.clone(),
            attempts,
            in_flight: None,
            first_possible_execution: None,
            last_attempt: SentAttempt::default(),
            completed: false,
            streamed: false,
        };
        self.messages.insert(message.id, state);
    }

    /// Records an attempt that is sent now. Returns the attempt's number, or `None` if the message is
    /// unknown.
    pub fn begin_attempt(&mut self, now: u64, id: u32, route: u64) -> Option<u32> {
        let state = self.messages.get_mut(&id)?;
        let attempt = state.attempts;
        state.attempts += 1;
        state.in_flight = Some(attempt);
        state.last_attempt = SentAttempt { sent_at: now, route };
        Some(attempt)
    }

    /// Marks a message as completed.
    pub fn complete(&mut self, id: u32) {
        if let Some(state) = self.messages.get_mut(&id) {
            state.completed = true;
        }
    }

    /// Removes the attempt in flight of the first message that has one. Returns the message's id and the
    /// attempt's number.
    pub fn take_first_in_flight(&mut self) -> Option<(u32, u32)> {
        let (&id, state) = self.messages.iter_mut().find(|(_, state)| state.in_flight.is_some())?;
        Some((id, state.in_flight.take()?))
    }

    /// Clears the state because the instance's process ends. Returns the messages that were not completed.
    pub fn stop(&mut self) -> Vec<MessageState> {
        self.is_up = false;
        self.scheduled_inputs.clear();
        std::mem::take(&mut self.messages).into_values().filter(|state| !state.completed).collect()
    }
}
