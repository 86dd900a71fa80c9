//! Sends a call: when the next one may go, and how long each attempt may take.

use super::Policy;
use super::scope::Scope;
use super::state::{Destination, InFlightAttempt};
use super::throttle::BURST;
use crate::circuit_breaker::BreakerState;
use crate::interface::{Action, Effect, MessageHandle, Millis};

/// Time-out of an attempt, as a multiple of the time after which it is overdue.
const TIMEOUT_STRETCH: f64 = 3.0;

impl Policy {
    /// Sends a call with these messages by a route.
    pub(super) fn send(
        &mut self,
        destination: &mut Destination,
        bundle: Vec<MessageHandle>,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let used_up_pace = self.pace_next_call(destination, index);
        destination.waiting.retain(|id| !bundle.contains(id));
        for scope in destination.breaker_scopes(index) {
            self.pace_unhealthy(destination, index, scope);
        }
        let call = self.begin_call(destination, index, bundle.len(), used_up_pace);
        for id in bundle {
            let timeout = self.attempt_timeout(destination, id, index);
            let Some(message) = self.messages.get_mut(&id) else { continue };
            message.in_flight = Some(InFlightAttempt { attempt: message.attempts, call: call.id });
            message.attempts += 1;
            message.counted_as_dropped = false;
            let start_within = message.outcome_due_at - self.now;
            actions.push(Action::Send { id, route: call.route, timeout, start_within });
        }
    }

    /// Sets when the next call through the throttle may draw; whether this one used up what the pace allows.
    fn pace_next_call(&mut self, destination: &mut Destination, index: usize) -> bool {
        let fleet_pace = destination.fleet_pace(Scope::Route(index), self.now);
        let throttle = destination.throttle_mut(index);
        throttle.capacity.record_call(self.now, fleet_pace);
        let earliest = self.now - BURST;
        let used_up_pace = throttle.next_draw_at > earliest;
        let mean_pause = 1_000.0 / fleet_pace.unwrap_or(throttle.pace);
        throttle.next_draw_at = throttle.next_draw_at.max(earliest) + self.rng.pause(mean_pause);
        used_up_pace
    }

    /// Sets when the next probe, or the next call of slow start, may go.
    fn pace_unhealthy(&mut self, destination: &mut Destination, index: usize, scope: Scope) {
        match destination.breaker(scope).state {
            BreakerState::Closed => {}
            BreakerState::Open { .. } => {
                // One probe at a time: one that is overdue no longer counts.
                let min_pause = destination.overdue_after(index);
                self.open_breaker(destination, scope, min_pause, false);
            }
            BreakerState::SlowStart { since, .. } => {
                let draw = self.rng.pause(1.0);
                let next_call_at = self.next_in_slow_start(destination, scope, since, self.now, draw);
                let breaker = destination.breaker_mut(scope);
                breaker.next_call_at = next_call_at;
                if self.settings.recovery_progress(self.now - since) >= 1.0 {
                    breaker.state = BreakerState::Closed;
                }
            }
        }
    }

    /// A message that must not be repeated gains nothing by an early time-out; others leave time for a retry.
    fn attempt_timeout(&self, destination: &Destination, id: MessageHandle, index: usize) -> Millis {
        let Some(message) = self.messages.get(&id) else { return 0.0 };
        let time_left = message.weight.expires_at - self.now;
        let usual = destination.overdue_after(index) * TIMEOUT_STRETCH;
        let timeout = match self.settings.classes[message.weight.class].effect {
            Effect::NotIdempotent => time_left,
            Effect::Idempotent => usual,
            Effect::IdempotencyKey { window, .. } => usual.min(window / 2.0),
        };
        timeout.min(time_left)
    }
}
