//! Withholds calls from receivers that requested a backoff, and shares the backoffs with the peer process: the other
//! process of this sender during a handover.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use rudderspindle_policy::interface::{DestinationId, Millis, RouteId};
use tokio::time::Instant;

use super::{MAX_BACKOFF_MS, Outbound};
use crate::handover::HandoverMessage;

/// What a backoff applies to: one route, if [`super::Route::has_own_backoff`] is true, or all routes of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum BackoffScope {
    Route(RouteId),
    Destination(DestinationId),
}

/// An active backoff, with its remaining time in milliseconds.
#[derive(Clone, Copy, Debug)]
struct RemainingBackoff {
    scope: BackoffScope,
    remaining: Millis,
}

/// The active backoffs: for each scope, the time before which no call may be sent.
#[derive(Debug, Default)]
pub(super) struct Backoffs {
    backoff_until: RefCell<HashMap<BackoffScope, Instant>>,
}

impl Backoffs {
    /// Starts a backoff that ends after `wait`, or extends the active backoff of the scope if that one ends earlier.
    /// The route of the scope may have been removed from the endpoint list.
    pub(super) fn extend(&self, scope: BackoffScope, wait: Millis) {
        let until = Instant::now() + Duration::from_secs_f64(wait / 1_000.0);
        let mut backoff_until = self.backoff_until.borrow_mut();
        let current_until = backoff_until.entry(scope).or_insert(until);
        *current_until = (*current_until).max(until);
    }

    /// Removes the backoffs that have ended.
    pub(super) fn remove_expired(&self, now: Instant) {
        self.backoff_until.borrow_mut().retain(|_, until| *until > now);
    }

    fn is_active(&self, scope: BackoffScope) -> bool {
        self.backoff_until.borrow().get(&scope).is_some_and(|&until| until > Instant::now())
    }

    fn remaining(&self) -> Vec<RemainingBackoff> {
        let now = Instant::now();
        let remaining_of = |until: Instant| until.saturating_duration_since(now).as_secs_f64() * 1_000.0;
        let backoff_until = self.backoff_until.borrow();
        let backoffs = backoff_until
            .iter()
            .map(|(&scope, &until)| RemainingBackoff { scope, remaining: remaining_of(until) });
        backoffs.collect()
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.backoff_until.borrow().len()
    }
}

impl Outbound {
    /// Applies a backoff that the peer process reports: to one route or, if `route` is `None`, to the whole
    /// destination.
    pub fn apply_backoff(&self, destination: DestinationId, route: Option<RouteId>, wait: Millis) {
        let scope = route.map_or(BackoffScope::Destination(destination), BackoffScope::Route);
        self.backoffs.extend(scope, wait.clamp(0.0, MAX_BACKOFF_MS));
    }

    /// The active backoffs as messages for the peer process.
    pub fn active_backoffs(&self) -> Vec<HandoverMessage> {
        let backoffs = self.backoffs.remaining().into_iter();
        backoffs.map(|backoff| self.backoff_message(backoff.scope, backoff.remaining)).collect()
    }

    /// Applies the backoff that a receiver requests and reports it to the peer process; `wait` is 0 if none is
    /// requested.
    pub(super) fn apply_retry_after(&self, scope: BackoffScope, wait: Millis) {
        if wait > 0.0 {
            self.backoffs.extend(scope, wait);
            self.peer_process.send(self.backoff_message(scope, wait));
        }
    }

    /// Whether calls may be sent to the route now: it is ready, and no backoff of its scope is active.
    pub(super) fn accepts_calls(&self, id: RouteId) -> bool {
        self.routes.ready_backoff_scope(id).is_some_and(|scope| !self.backoffs.is_active(scope))
    }

    fn backoff_message(&self, scope: BackoffScope, wait: Millis) -> HandoverMessage {
        match scope {
            BackoffScope::Destination(DestinationId(destination)) => {
                HandoverMessage::RetryAfter { destination, receiver: None, ms: wait }
            }
            BackoffScope::Route(route) => {
                let location = self.routes.receiver_location(route);
                let receiver = location.map_or_else(String::new, |location| location.receiver.to_string());
                let destination = self.routes.destination(route).unwrap_or_default().0;
                HandoverMessage::RetryAfter { destination, receiver: Some(receiver), ms: wait }
            }
        }
    }
}
