//! Detects from the results of calls and from overdue calls when an outage begins and ends.

use super::Destination;
use super::scope::Scope;
use crate::circuit_breaker::{CircuitBreaker, RecoveryLimits};
use crate::context::Context;
use crate::interface::{Millis, Outcome};

/// Number of consecutive failures that opens a circuit breaker.
const MAX_FAILURES: f64 = 4.0;
/// Number of consecutive failures that opens a shared circuit breaker even if most routes have not failed. It
/// applies only while fewer than [`MAX_FAILURES`] failures are enough to open the breaker.
const MIN_REPEATED_FAILURES: f64 = 2.0;

/// The result of a call: the first result among its attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallResult {
    pub sent_at: Millis,
    pub outcome: Outcome,
    /// Whether this result alone indicates an outage.
    pub indicates_outage: bool,
}

impl Destination {
    /// The limits on the calls of a scope during an outage and in slow start.
    pub(super) fn recovery_limits(&self, context: &Context, scope: Scope) -> RecoveryLimits {
        let throttle = self.throttle_of(scope);
        let has_own_limit = self.limit_per_route || scope == Scope::All;
        RecoveryLimits {
            limit: throttle.limit(),
            sender_share: self.recovery_share(context, scope),
            sharing_breakers: if has_own_limit { 1 } else { self.ready_routes().count().max(1) },
            retry_after_until: throttle.retry_after_until(),
        }
    }

    /// Opens the circuit breakers of unresponsive scopes.
    ///
    /// Extension (calls are overdue, without a later answer): the breaker opens before the calls time out,
    /// because the time-out of a call is much later.
    pub(super) fn open_unresponsive_breakers(&mut self, context: &mut Context) {
        for scope in self.all_breaker_scopes() {
            if !self.is_unresponsive(scope, context.now) {
                continue;
            }
            let limits = self.recovery_limits(context, scope);
            self.breaker_mut(scope).open_unresponsive(context, &limits);
            self.reset_narrower_breakers(scope);
        }
    }

    /// Counts a result at the circuit breakers of a route; a success may end an outage.
    pub(super) fn record_result_at_breakers(
        &mut self,
        context: &mut Context,
        route_index: usize,
        result: &CallResult,
    ) {
        for scope in self.breaker_scopes(route_index) {
            let breaker = self.breaker_mut(scope);
            if !matches!(result.outcome, Outcome::Timeout | Outcome::ConnectFailed) {
                breaker.record_answer(context.now);
            }
            if result.outcome == Outcome::Ok && breaker.is_outage_ended_by(result.sent_at) {
                self.end_outage(context, route_index, scope, result.sent_at);
            } else if !result.indicates_outage && !breaker.counts_call_sent_at(result.sent_at) {
                // The call was sent before the outage, so its result says nothing about the current state.
                return;
            }
            let breaker = self.breaker_mut(scope);
            if result.indicates_outage || result.outcome != Outcome::Rejected || breaker.is_open() {
                breaker.record_result(result.outcome);
            }
        }
    }

    /// Starts slow start after the first success in an outage.
    ///
    /// Extension (an outage was detected): the recovery ramp limits the calls, because the destination may be
    /// warming up. The ramp begins with the success, or with the end of the Retry-After if that is later.
    fn end_outage(&mut self, context: &mut Context, route_index: usize, scope: Scope, sent_at: Millis) {
        let since = context.now.max(self.throttle(route_index).retry_after_until());
        let limits = self.recovery_limits(context, scope);
        self.breaker_mut(scope).begin_slow_start(context, &limits, since, sent_at);
        self.throttle_mut(route_index).clear_counts();
    }

    /// Opens a circuit breaker of the route, or begins slow start, if a result indicates an outage. The
    /// breaker of the widest scope is checked first.
    pub(super) fn react_to_result(&mut self, context: &mut Context, route_index: usize, result: &CallResult) {
        for scope in self.breaker_scopes(route_index) {
            let breaker = self.breaker(scope);
            let is_failure = match result.outcome {
                // Slow start begins again even on a success while many answers are errors.
                Outcome::Ok => breaker.is_in_slow_start() && breaker.has_many_errors(),
                Outcome::Rejected => result.indicates_outage || breaker.is_open(),
                _ => true,
            };
            if !result.indicates_outage && !breaker.counts_call_sent_at(result.sent_at) {
                return;
            }
            // An outage of all routes is not counted again at the breaker of the single route.
            if is_failure && self.react_to_failure(context, scope, result.indicates_outage) {
                return;
            }
        }
    }

    /// Opens the circuit breaker or begins slow start, if a failure indicates that an outage of this scope
    /// has begun or continues. Returns whether the failure indicates that.
    fn react_to_failure(&mut self, context: &mut Context, scope: Scope, indicates_outage: bool) -> bool {
        let limits = self.recovery_limits(context, scope);
        let max_failures = self.max_failures(context, scope, &limits);
        let breaker = self.breaker(scope);
        let has_failed_repeatedly = max_failures < MAX_FAILURES && breaker.has_failed(MIN_REPEATED_FAILURES);
        let concerns_whole_scope = !breaker.is_closed()
            || has_failed_repeatedly
            || self.holds_for_most(scope, CircuitBreaker::is_degraded);
        let has_failed_often = breaker.has_failed(max_failures) && concerns_whole_scope;
        if indicates_outage || breaker.is_open() || has_failed_often {
            self.breaker_mut(scope).open(context, &limits, 0.0);
        } else if breaker.has_many_errors() && concerns_whole_scope {
            // Extension (about half of the answers are errors): slow start begins, because the destination
            // may be warming up. Errors count as accepts, so the throttle alone would not limit the calls.
            let now = context.now;
            self.breaker_mut(scope).begin_slow_start(context, &limits, now, now);
        } else {
            if max_failures < MAX_FAILURES {
                self.back_off_to_own_share(context, scope, &limits);
            }
            return false;
        }
        self.reset_narrower_breakers(scope);
        true
    }

    /// Extension (this sender's share of the overload is small): until the breaker opens, calls start at
    /// most at the rate of this sender's share of the limit.
    fn back_off_to_own_share(&mut self, context: &mut Context, scope: Scope, limits: &RecoveryLimits) {
        let pause = context.rng.pause(1_000.0 / limits.sender_rate());
        self.throttle_of_mut(scope).delay_next_draw(context.now + pause);
    }

    /// Number of consecutive failures that opens the breaker.
    ///
    /// Extension (this sender's share of the overload is small): the number is this sender's share of the
    /// calls that overload the destination, because with more failures per sender the fleet would overload it
    /// before the breakers open. The number is not reduced while a capacity update is valid.
    fn max_failures(&self, context: &Context, scope: Scope, limits: &RecoveryLimits) -> f64 {
        if self.shared_rate(scope, context.now).is_some() {
            return MAX_FAILURES;
        }
        let settings = &context.settings;
        let overloading_calls =
            limits.limit * settings.overload_duration / 1_000.0 * settings.overload_multiple;
        (overloading_calls * limits.sender_share).clamp(1.0, MAX_FAILURES)
    }

    /// Closes the circuit breakers of the routes after the shared breaker has changed its state.
    fn reset_narrower_breakers(&mut self, scope: Scope) {
        if scope == Scope::All {
            for route in &mut self.routes {
                route.breaker.reset();
            }
        }
    }
}
