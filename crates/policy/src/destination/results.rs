//! Records the results of attempts: at the call, and at the throttle and circuit breakers of its route.

use super::Destination;
use super::outage_detection::CallResult;
use super::scope::Scope;
use crate::calls::{Call, CallId};
use crate::context::Context;
use crate::interface::{AttemptResult, Outcome};
use crate::messages::PossibleExecution;
use crate::slots::CallSlots;

impl Destination {
    /// Records the result of an attempt. Returns when and by which route the attempt was sent, if its call is
    /// known; whether it may have been executed depends on the outcome.
    pub fn record_result(
        &mut self,
        context: &mut Context,
        slots: &mut CallSlots,
        call: CallId,
        result: &AttemptResult,
    ) -> Option<PossibleExecution> {
        let call = self.calls.get(call)?;
        let route_index = self.route_index(call.route)?;
        let zone = self.routes[route_index].zone;
        // The attempts of one call may report the same Retry-After in several batches of events. The throttle
        // backs off again for each of them, so the last one determines when the backoff ends.
        if result.outcome == Outcome::Rejected && result.retry_after > 0.0 {
            let shared_rate = self.shared_rate(Scope::Route(route_index), context.now);
            self.throttle_mut(route_index).back_off(context, result.retry_after, shared_rate);
        }
        if result.outcome == Outcome::Ok {
            self.calls.count_later_success(call.route, call.sent_at);
        }
        let result_position = self.calls.record_result(call.id);
        if result_position.is_last {
            slots.release();
        }
        if result_position.is_first && counts_at_throttle(result.outcome) {
            self.record_call_result(context, route_index, &call, result);
        }
        Some(PossibleExecution { sent_at: call.sent_at, route: call.route, zone })
    }

    /// Records the first result of a call at the throttle and the circuit breakers of its route.
    fn record_call_result(
        &mut self,
        context: &mut Context,
        route_index: usize,
        call: &Call,
        result: &AttemptResult,
    ) {
        let outcome = result.outcome;
        let is_rate_limited = call.is_rate_limited || !self.waiting.is_empty();
        if outcome == Outcome::Ok && is_rate_limited {
            self.throttle_mut(route_index).increase_send_rate(context);
        }
        let indicates_outage =
            self.throttle_mut(route_index).record_result(context, outcome, result.retry_after);
        let result = CallResult { sent_at: call.sent_at, outcome, indicates_outage };
        self.record_result_at_breakers(context, route_index, &result);
        self.react_to_result(context, route_index, &result);
        if outcome == Outcome::Ok {
            self.throttle_mut(route_index).record_latency(context.now - call.sent_at);
        }
    }
}

/// Whether an outcome depends on the limit or the receiver; the throttle and the breakers ignore other
/// outcomes.
fn counts_at_throttle(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::NotSent | Outcome::NotStarted | Outcome::AttemptsExhausted | Outcome::Cancelled
    )
}
