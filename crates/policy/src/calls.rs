//! The calls in flight to one destination.

use crate::interface::{Millis, RouteId};

/// Identifies a call; unique within this process of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallId(pub u64);

/// A call in flight; removed once the attempts of all its messages have outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub id: CallId,
    pub route: RouteId,
    pub sent_at: Millis,
    /// Whether the throttle had less than a full burst available when the call was sent.
    pub is_rate_limited: bool,
    /// Whether the attempt of at least one message has an outcome.
    pub has_outcome: bool,
    /// Number of successful calls that were sent later by the same route.
    pub later_successes: u32,
    /// Number of messages whose attempts have no outcome yet.
    messages_without_outcome: usize,
    is_cancelled: bool,
}

impl Call {
    /// Creates a call that is sent at `sent_at` and carries `message_count` messages.
    pub fn new(
        id: CallId,
        route: RouteId,
        sent_at: Millis,
        message_count: usize,
        is_rate_limited: bool,
    ) -> Self {
        Self {
            id,
            route,
            sent_at,
            is_rate_limited,
            has_outcome: false,
            later_successes: 0,
            messages_without_outcome: message_count,
            is_cancelled: false,
        }
    }

    /// Whether the host was requested to cancel the attempts of the call.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }
}

/// Whether a result was the first or the last one among the attempts of its call; neither if the call is
/// unknown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResultPosition {
    pub is_first: bool,
    pub is_last: bool,
}

/// The calls in flight to one destination; the sender's slots bound their number.
#[derive(Debug, Default)]
pub(crate) struct Calls(Vec<Call>);

impl Calls {
    pub fn add(&mut self, call: Call) {
        self.0.push(call);
    }

    pub fn iter(&self) -> impl Iterator<Item = &Call> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn count_by_route(&self, route: RouteId) -> usize {
        self.0.iter().filter(|call| call.route == route).count()
    }

    pub fn get(&self, id: CallId) -> Option<Call> {
        self.0.iter().find(|call| call.id == id).copied()
    }

    /// Counts a successful call that was sent at `sent_at` as a later success of each earlier call by the
    /// same route.
    pub fn count_later_success(&mut self, route: RouteId, sent_at: Millis) {
        for call in &mut self.0 {
            if call.route == route && call.sent_at < sent_at {
                call.later_successes = call.later_successes.saturating_add(1);
            }
        }
    }

    /// Marks calls as cancelled after the cancellation of their attempts was requested.
    pub fn mark_cancelled(&mut self, ids: &[CallId]) {
        for call in &mut self.0 {
            call.is_cancelled |= ids.contains(&call.id);
        }
    }

    /// Records that one attempt of a call has an outcome. The call is removed with its last outcome.
    pub fn record_result(&mut self, id: CallId) -> ResultPosition {
        let Some(index) = self.0.iter().position(|call| call.id == id) else {
            return ResultPosition::default();
        };
        let call = &mut self.0[index];
        call.messages_without_outcome -= 1;
        let is_first = !call.has_outcome;
        let is_last = call.messages_without_outcome == 0;
        call.has_outcome = true;
        if is_last {
            self.0.swap_remove(index);
        }
        ResultPosition { is_first, is_last }
    }
}
