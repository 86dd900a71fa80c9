//! The calls in flight to one destination.

use crate::interface::{Millis, RouteId};

/// Identifies a call of this sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallId(pub u64);

/// A call in flight; kept until all its messages have their outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub id: CallId,
    pub route: RouteId,
    pub sent_at: Millis,
    /// Whether its throttle had saved up less than a burst when it was sent.
    pub is_rate_limited: bool,
    /// Whether any of its messages has an outcome.
    pub has_outcome: bool,
    /// Number of successful calls that were sent later by its route.
    pub later_successes: u32,
    /// Number of messages without an outcome.
    messages_left: usize,
    is_cancelled: bool,
}

impl Call {
    /// A call with this many messages that is sent now.
    pub fn new(id: CallId, route: RouteId, sent_at: Millis, messages: usize, is_rate_limited: bool) -> Self {
        Self {
            id,
            route,
            sent_at,
            is_rate_limited,
            has_outcome: false,
            later_successes: 0,
            messages_left: messages,
            is_cancelled: false,
        }
    }

    /// Whether an action has cancelled its attempts.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }
}

/// Which of a call's results one was.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResultPosition {
    pub is_first: bool,
    pub is_last: bool,
}

/// The calls of a destination, at most as many as the sender has slots.
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

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of calls by a route.
    pub fn count_of(&self, route: RouteId) -> usize {
        self.0.iter().filter(|call| call.route == route).count()
    }

    /// A copy of a call.
    pub fn get(&self, id: CallId) -> Option<Call> {
        self.0.iter().find(|call| call.id == id).copied()
    }

    /// Counts a success at the calls that were sent earlier by the same route.
    pub fn count_later_success(&mut self, route: RouteId, sent_at: Millis) {
        for call in &mut self.0 {
            if call.route == route && call.sent_at < sent_at {
                call.later_successes = call.later_successes.saturating_add(1);
            }
        }
    }

    /// Marks calls whose attempts are cancelled.
    pub fn mark_cancelled(&mut self, ids: &[CallId]) {
        for call in &mut self.0 {
            call.is_cancelled |= ids.contains(&call.id);
        }
    }

    /// Records the outcome of one of a call's messages; the call is dropped with the last one.
    pub fn record_result(&mut self, id: CallId) -> ResultPosition {
        let Some(index) = self.0.iter().position(|call| call.id == id) else {
            return ResultPosition::default();
        };
        let call = &mut self.0[index];
        call.messages_left -= 1;
        let is_first = !call.has_outcome;
        let is_last = call.messages_left == 0;
        call.has_outcome = true;
        if is_last {
            self.0.swap_remove(index);
        }
        ResultPosition { is_first, is_last }
    }
}
