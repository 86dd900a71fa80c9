//! Schedules subscriptions to the endpoint list.

use crate::context::Context;
use crate::interface::{Discovery, Millis};

/// Mean backoff after a failed subscription, in ms.
const SUBSCRIBE_BACKOFF: Millis = 1_000.0;

/// The time of the next subscription to the endpoint list.
///
/// Extension (the list arrives on request only): the policy subscribes at the start, and again after each
/// failure, because changes of the list would not be received otherwise.
#[derive(Debug)]
pub(crate) struct Subscription {
    is_on_request: bool,
    /// When the next subscription is due; `None` if none is scheduled.
    due_at: Option<Millis>,
}

impl Subscription {
    /// Creates a schedule; if the list arrives on request only, the first subscription is due at once.
    pub fn new(discovery: Discovery) -> Self {
        let is_on_request = matches!(discovery, Discovery::OnRequest { .. });
        Self { is_on_request, due_at: is_on_request.then_some(0.0) }
    }

    /// Returns whether a subscription is due now, and removes it from the schedule.
    pub fn take_due(&mut self, now: Millis) -> bool {
        self.due_at.take_if(|due_at| *due_at <= now).is_some()
    }

    /// Schedules the next subscription after one has failed.
    pub fn back_off(&mut self, context: &mut Context) {
        let backoff = context.rng.pause(SUBSCRIBE_BACKOFF);
        self.due_at = self.is_on_request.then_some(context.now + backoff);
    }

    /// When the next subscription is due; `None` if none is scheduled.
    pub fn due_at(&self) -> Option<Millis> {
        self.due_at
    }
}
