//! Decides from the outcomes of calls when an outage begins, and when it has ended.

use super::Policy;
use super::scope::Scope;
use super::settlement::CallResult;
use super::state::Destination;
use crate::circuit_breaker::{BreakerState, CircuitBreaker};
use crate::interface::Outcome;

/// Failures in a row, with no success between, that open a circuit breaker.
const MAX_FAILURES: f64 = 4.0;
/// The least number of them that opens it where most routes have not failed, while fewer than the above
/// count.
const MIN_REPEATED_FAILURES: f64 = 2.0;

impl Policy {
    /// Counts a result at the circuit breakers of a route; it may show that an outage has ended.
    pub(super) fn record_at_breakers(
        &mut self,
        destination: &mut Destination,
        index: usize,
        result: &CallResult,
    ) {
        for scope in destination.breaker_scopes(index) {
            let breaker = destination.breaker_mut(scope);
            if !matches!(result.outcome, Outcome::Timeout | Outcome::ConnectFailed) {
                breaker.last_answer_at = self.now;
            }
            if result.outcome == Outcome::Ok && breaker.is_return_proven_by(result.sent_at) {
                self.end_outage(destination, index, scope, result);
            } else if !result.shows_outage && !breaker.is_concerned_by(result.sent_at) {
                // It was sent before the outage: it says nothing new of any route.
                return;
            }
            let breaker = destination.breaker_mut(scope);
            if result.shows_outage || result.outcome != Outcome::Rejected || breaker.is_open() {
                breaker.record(result.sent_at, result.outcome);
            }
        }
    }

    /// Departure (an outage was seen): from the first success on the recovery ramp bounds what the
    /// destination gets, but not before its Retry-After is over.
    fn end_outage(&mut self, destination: &mut Destination, index: usize, scope: Scope, result: &CallResult) {
        let since = self.now.max(destination.throttle(index).retry_after_until);
        self.begin_slow_start(destination, scope, since, result.sent_at);
        destination.throttle_mut(index).window.clear();
    }

    /// Opens the circuit breakers that a result gives reason to, the widest first.
    pub(super) fn react_to_result(
        &mut self,
        destination: &mut Destination,
        index: usize,
        result: &CallResult,
    ) {
        for scope in destination.breaker_scopes(index) {
            let breaker = destination.breaker(scope);
            let is_failure = match result.outcome {
                // Successes among errors do not end slow start.
                Outcome::Ok => breaker.is_in_slow_start() && breaker.has_many_errors(),
                Outcome::Rejected => result.shows_outage || breaker.is_open(),
                _ => true,
            };
            if !result.shows_outage && !breaker.is_concerned_by(result.sent_at) {
                return;
            }
            // What concerns all routes of a destination is not laid to each of them.
            if is_failure && self.react_to_failure(destination, scope, result.shows_outage) {
                return;
            }
        }
    }

    /// Whether a failure shows that an outage of this scope has begun or goes on; its circuit breaker reacts.
    fn react_to_failure(&mut self, destination: &mut Destination, scope: Scope, shows_outage: bool) -> bool {
        let max_failures = self.max_failures(destination, scope);
        let breaker = destination.breaker(scope);
        let repeated = max_failures < MAX_FAILURES && breaker.has_failed(MIN_REPEATED_FAILURES);
        let concerns_whole_scope = breaker.state != BreakerState::Closed
            || repeated
            || destination.holds_for_most(scope, CircuitBreaker::is_impaired);
        let has_failed_often = breaker.has_failed(max_failures) && concerns_whole_scope;
        if shows_outage || breaker.is_open() || has_failed_often {
            self.open_breaker(destination, scope, 0.0, false);
        } else if breaker.has_many_errors() && concerns_whole_scope {
            // Departure (about half the answers are errors, which count as accepts): it may be warming up.
            self.begin_slow_start(destination, scope, self.now, self.now);
        } else {
            if max_failures < MAX_FAILURES {
                self.back_off_to_our_share(destination, scope);
            }
            return false;
        }
        if scope == Scope::All {
            destination.reset_route_breakers();
        }
        true
    }

    /// Departure (fewer failures than usual open the breaker): until more is known the destination is tried
    /// no faster than our share allows.
    fn back_off_to_our_share(&mut self, destination: &mut Destination, scope: Scope) {
        let our_rate = destination.throttle_of(scope).limit * self.recovery_share(destination, scope);
        let pause = self.rng.pause(1_000.0 / our_rate);
        let throttle = destination.throttle_of_mut(scope);
        throttle.next_draw_at = throttle.next_draw_at.max(self.now + pause);
    }

    /// Failures in a row that open the breaker. Departure (no fleet reports, and our share of the calls that
    /// overload the destination is fewer): it would be overloaded before we had seen as many as usual.
    fn max_failures(&self, destination: &Destination, scope: Scope) -> f64 {
        if destination.fleet_pace(scope, self.now).is_some() {
            return MAX_FAILURES;
        }
        let limit = destination.throttle_of(scope).limit;
        let overloading_calls =
            limit * self.settings.overload_duration / 1_000.0 * self.settings.overload_multiple;
        (overloading_calls * self.recovery_share(destination, scope)).clamp(1.0, MAX_FAILURES)
    }
}
