//! What the host keeps of an instance: its messages, and what is reported to it later.

use std::collections::BTreeMap;

use crate::attempt::MessageInput;
use crate::input::Input;

/// A message that an instance was given.
#[derive(Debug)]
pub struct MessageState {
    pub message: MessageInput,
    pub attempts: u32,
    /// Number of the attempt in flight.
    pub in_flight: Option<u32>,
    /// The first attempt that may have taken effect.
    pub execution: Option<SentAttempt>,
    /// The last attempt.
    pub last: SentAttempt,
    pub completed: bool,
    pub streamed: bool,
}

/// When and by which route an attempt was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentAttempt {
    /// In ticks of the session's clock.
    pub sent_at: u64,
    pub route: u64,
}

/// When an input is due, in ticks, with a sequence number.
type DueTime = (u64, u64);

/// An instance of the policy.
#[derive(Debug, Default)]
pub struct Instance {
    pub is_up: bool,
    pub messages: BTreeMap<u32, MessageState>,
    due: BTreeMap<DueTime, Input>,
}

impl Instance {
    /// Schedules an input.
    pub fn schedule(&mut self, at: u64, sequence: u64, input: Input) {
        self.due.insert((at, sequence), input);
    }

    /// When the next input is due, in ticks.
    pub fn next_due_at(&self) -> Option<u64> {
        self.due.keys().next().map(|&(at, _)| at)
    }

    /// Takes the inputs that are due, without those of attempts that have ended before.
    pub fn take_due(&mut self, now: u64) -> Vec<Input> {
        let later = self.due.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.due, later);
        due.into_values().filter_map(|input| self.apply(input)).collect()
    }

    fn apply(&mut self, input: Input) -> Option<Input> {
        match input {
            Input::Outcome { id, attempt, outcome, completed, .. } => {
                let state = self.in_flight(id, attempt)?;
                state.in_flight = None;
                state.completed |= completed;
                let possibly_executed = outcome.is_possibly_executed().then_some(state.last);
                state.execution = state.execution.or(possibly_executed);
            }
            Input::Started { id, attempt } => self.in_flight(id, attempt)?.streamed = true,
            _ => {}
        }
        Some(input)
    }

    fn in_flight(&mut self, id: u32, attempt: u32) -> Option<&mut MessageState> {
        self.messages.get_mut(&id).filter(|state| state.in_flight == Some(attempt))
    }

    /// Adds a message with this many attempts.
    pub fn add(&mut self, message: &MessageInput, attempts: u32) {
        let state = MessageState {
            message: message.clone(),
            attempts,
            in_flight: None,
            execution: None,
            last: SentAttempt::default(),
            completed: false,
            streamed: false,
        };
        self.messages.insert(message.id, state);
    }

    /// Records an attempt that is sent now. Returns its number, if the message is known.
    pub fn begin_attempt(&mut self, now: u64, id: u32, route: u64) -> Option<u32> {
        let state = self.messages.get_mut(&id)?;
        let attempt = state.attempts;
        state.attempts += 1;
        state.in_flight = Some(attempt);
        state.last = SentAttempt { sent_at: now, route };
        Some(attempt)
    }

    /// Records the final outcome of a message.
    pub fn complete(&mut self, id: u32) {
        if let Some(state) = self.messages.get_mut(&id) {
            state.completed = true;
        }
    }

    /// Takes an attempt in flight out of the first message that has one.
    pub fn take_first_in_flight(&mut self) -> Option<(u32, u32)> {
        let (&id, state) = self.messages.iter_mut().find(|(_, state)| state.in_flight.is_some())?;
        Some((id, state.in_flight.take()?))
    }

    /// Clears the state, as when its process ends. Returns the messages that were not completed.
    pub fn stop(&mut self) -> Vec<MessageState> {
        self.is_up = false;
        self.due.clear();
        std::mem::take(&mut self.messages).into_values().filter(|state| !state.completed).collect()
    }
}
