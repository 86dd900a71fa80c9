//! When to subscribe to the endpoint list.

use crate::context::Context;
use crate::interface::{Discovery, Millis};

/// Mean backoff before subscribing again after a failure, in ms.
const SUBSCRIBE_BACKOFF: Millis = 1_000.0;

/// The next subscription to the endpoint list, if one is due.
///
/// Departure (the list arrives on request only): it subscribes at once, and again after each failure.
#[derive(Debug)]
pub(crate) struct Subscription {
    is_on_request: bool,
    due_at: Option<Millis>,
}

impl Subscription {
    /// A subscription that is due at once, if the list arrives on request only.
    pub fn new(discovery: Discovery) -> Self {
        let is_on_request = matches!(discovery, Discovery::OnRequest { .. });
        Self { is_on_request, due_at: is_on_request.then_some(0.0) }
    }

    /// Whether to subscribe now.
    pub fn take_due(&mut self, now: Millis) -> bool {
        self.due_at.take_if(|due_at| *due_at <= now).is_some()
    }

    /// Schedules the next subscription after one has failed.
    pub fn back_off(&mut self, context: &mut Context) {
        let backoff = context.rng.pause(SUBSCRIBE_BACKOFF);
        self.due_at = self.is_on_request.then_some(context.now + backoff);
    }

    /// When the next subscription is due.
    pub fn due_at(&self) -> Option<Millis> {
        self.due_at
    }
}
