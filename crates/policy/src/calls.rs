//! The calls in flight to one destination. No decision.

use crate::interface::{Millis, RouteId};

/// A call in flight; kept until all its messages have their outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub id: u64,
    pub route: RouteId,
    pub sent_at: Millis,
    /// Whether it used up what the pace allowed.
    pub used_up_pace: bool,
    /// Whether any of its messages has an outcome.
    pub has_outcome: bool,
    /// Calls sent later by its route that were answered well.
    pub later_answers: u32,
    /// Messages without an outcome.
    messages_left: usize,
    is_cancelled: bool,
}

impl Call {
    /// A call with so many messages that was sent just now.
    pub fn new(id: u64, route: RouteId, sent_at: Millis, messages: usize, used_up_pace: bool) -> Self {
        Self {
            id,
            route,
            sent_at,
            used_up_pace,
            has_outcome: false,
            later_answers: 0,
            messages_left: messages,
            is_cancelled: false,
        }
    }

    /// Whether the host was told to cancel its attempts.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }
}

/// Which of a call's outcomes one was.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Settled {
    pub is_first: bool,
    pub is_last: bool,
}

/// The calls of a destination, no more than the sender has slots.
#[derive(Debug, Default)]
pub(crate) struct Calls(Vec<Call>);

impl Calls {
    /// Adds a call.
    pub fn begin(&mut self, call: Call) {
        self.0.push(call);
    }

    /// All calls.
    pub fn iter(&self) -> impl Iterator<Item = &Call> {
        self.0.iter()
    }

    /// A call as it is now.
    pub fn get(&self, id: u64) -> Option<Call> {
        self.0.iter().find(|call| call.id == id).copied()
    }

    /// A call by this route was answered well: counts it at those that were sent before.
    pub fn count_later_answer(&mut self, route: RouteId, sent_at: Millis) {
        for call in &mut self.0 {
            if call.route == route && call.sent_at < sent_at {
                call.later_answers = call.later_answers.saturating_add(1);
            }
        }
    }

    /// Marks calls whose attempts the host was told to cancel.
    pub fn mark_cancelled(&mut self, ids: &[u64]) {
        for call in &mut self.0 {
            call.is_cancelled |= ids.contains(&call.id);
        }
    }

    /// One of a call's messages has its outcome; the call is dropped with the last one.
    pub fn settle(&mut self, id: u64) -> Settled {
        let Some(index) = self.0.iter().position(|call| call.id == id) else { return Settled::default() };
        let call = &mut self.0[index];
        call.messages_left -= 1;
        let is_first = !call.has_outcome;
        let is_last = call.messages_left == 0;
        call.has_outcome = true;
        if is_last {
            self.0.swap_remove(index);
        }
        Settled { is_first, is_last }
    }
}
