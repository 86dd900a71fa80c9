//! Decides from the results of calls and from overdue calls when an outage begins, and when it has ended.

use super::Destination;
use super::scope::Scope;
use crate::circuit_breaker::{CircuitBreaker, RecoveryLimits};
use crate::context::Context;
use crate::interface::{Millis, Outcome};

/// Failures in a row that open a circuit breaker.
const MAX_FAILURES: f64 = 4.0;
/// Failures in a row that open it even if most routes have not failed, while fewer than [`MAX_FAILURES`]
/// suffice.
const MIN_REPEATED_FAILURES: f64 = 2.0;

/// The result of a call: that of the first of its attempts that has one.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallResult {
    pub sent_at: Millis,
    pub outcome: Outcome,
    /// Whether it shows an outage by itself.
    pub shows_outage: bool,
}

impl Destination {
    /// What limits the calls of a scope in an outage and in slow start.
    pub(super) fn recovery_limits(&self, context: &Context, scope: Scope) -> RecoveryLimits {
        let throttle = self.throttle_of(scope);
        let has_own_limit = self.limit_per_route || scope == Scope::All;
        RecoveryLimits {
            limit: throttle.limit(),
            share: self.recovery_share(context, scope),
            shared_by: if has_own_limit { 1 } else { self.ready_routes().count().max(1) },
            retry_after_until: throttle.retry_after_until(),
        }
    }

    /// Departure (calls are overdue, without an answer since): the circuit breaker of an unresponsive scope
    /// opens before its calls time out.
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

    /// Counts a result at the circuit breakers of a route; it may show that an outage has ended.
    pub(super) fn record_at_breakers(&mut self, context: &mut Context, index: usize, result: &CallResult) {
        for scope in self.breaker_scopes(index) {
            let breaker = self.breaker_mut(scope);
            if !matches!(result.outcome, Outcome::Timeout | Outcome::ConnectFailed) {
                breaker.record_answer(context.now);
            }
            if result.outcome == Outcome::Ok && breaker.is_outage_ended_by(result.sent_at) {
                self.end_outage(context, index, scope, result.sent_at);
            } else if !result.shows_outage && !breaker.counts_call_sent_at(result.sent_at) {
                // It was sent before the outage: it shows nothing new of any route.
                return;
            }
            let breaker = self.breaker_mut(scope);
            if result.shows_outage || result.outcome != Outcome::Rejected || breaker.is_open() {
                breaker.record_result(result.outcome);
            }
        }
    }

    /// Departure (an outage was seen): from the first success on the recovery ramp limits the calls, but not
    /// before the Retry-After is over.
    fn end_outage(&mut self, context: &mut Context, index: usize, scope: Scope, sent_at: Millis) {
        let since = context.now.max(self.throttle(index).retry_after_until());
        let limits = self.recovery_limits(context, scope);
        self.breaker_mut(scope).begin_slow_start(context, &limits, since, sent_at);
        self.throttle_mut(index).clear_counts();
    }

    /// Changes the state of the circuit breakers for which a result is a reason, the widest first.
    pub(super) fn react_to_result(&mut self, context: &mut Context, index: usize, result: &CallResult) {
        for scope in self.breaker_scopes(index) {
            let breaker = self.breaker(scope);
            let is_failure = match result.outcome {
                // Successes among errors do not end slow start.
                Outcome::Ok => breaker.is_in_slow_start() && breaker.has_many_errors(),
                Outcome::Rejected => result.shows_outage || breaker.is_open(),
                _ => true,
            };
            if !result.shows_outage && !breaker.counts_call_sent_at(result.sent_at) {
                return;
            }
            // An outage of all routes is not counted at each of them.
            if is_failure && self.react_to_failure(context, scope, result.shows_outage) {
                return;
            }
        }
    }

    /// Opens the circuit breaker or begins slow start, if a failure shows that an outage of this scope has
    /// begun or continues. Returns whether it does.
    fn react_to_failure(&mut self, context: &mut Context, scope: Scope, shows_outage: bool) -> bool {
        let limits = self.recovery_limits(context, scope);
        let max_failures = self.max_failures(context, scope, &limits);
        let breaker = self.breaker(scope);
        let repeated = max_failures < MAX_FAILURES && breaker.has_failed(MIN_REPEATED_FAILURES);
        let concerns_whole_scope =
            !breaker.is_closed() || repeated || self.holds_for_most(scope, CircuitBreaker::is_degraded);
        let has_failed_often = breaker.has_failed(max_failures) && concerns_whole_scope;
        if shows_outage || breaker.is_open() || has_failed_often {
            self.breaker_mut(scope).open(context, &limits, 0.0);
        } else if breaker.has_many_errors() && concerns_whole_scope {
            // Departure (about half of the answers are errors): these count as accepts, but the destination
            // may be warming up.
            let now = context.now;
            self.breaker_mut(scope).begin_slow_start(context, &limits, now, now);
        } else {
            if max_failures < MAX_FAILURES {
                self.back_off_to_our_share(context, scope, &limits);
            }
            return false;
        }
        self.reset_narrower_breakers(scope);
        true
    }

    /// Departure (this sender's share of the overload is small): until the breaker opens, calls start no
    /// faster than this sender's share of the limit.
    fn back_off_to_our_share(&mut self, context: &mut Context, scope: Scope, limits: &RecoveryLimits) {
        let pause = context.rng.pause(1_000.0 / limits.rate());
        self.throttle_of_mut(scope).delay_next_draw(context.now + pause);
    }

    /// Failures in a row that open the breaker.
    ///
    /// Departure (this sender's share of the overload is small): as many as this sender's share of the calls
    /// that overload the destination, else the fleet would overload it before. Not while the fleet reports
    /// capacity.
    fn max_failures(&self, context: &Context, scope: Scope, limits: &RecoveryLimits) -> f64 {
        if self.shared_rate(scope, context.now).is_some() {
            return MAX_FAILURES;
        }
        let settings = &context.settings;
        let overloading_calls =
            limits.limit * settings.overload_duration / 1_000.0 * settings.overload_multiple;
        (overloading_calls * limits.share).clamp(1.0, MAX_FAILURES)
    }

    /// Closes the circuit breakers of the routes when the shared one has changed its state.
    fn reset_narrower_breakers(&mut self, scope: Scope) {
        if scope == Scope::All {
            for route in &mut self.routes {
                route.breaker.reset();
            }
        }
    }
}
