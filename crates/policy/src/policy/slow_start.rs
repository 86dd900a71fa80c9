//! Probes of a destination in an outage, and the recovery ramp that bounds what it gets after its return.

use super::Policy;
use super::scope::Scope;
use super::state::Destination;
use crate::interface::{Millis, RateHint, Settings};

/// The part of the multiple at which a warming-up destination is overloaded that the recovery ramp uses.
const RAMP_SHARE: f64 = 0.66;
/// How much lower the ramp is, and how much longer steps are, where listed limits are rough.
const ROUGH_RATE_MARGIN: f64 = 1.5;
/// Least mean pause between probes in an outage, ms.
const MIN_PROBE_PAUSE: Millis = 400.0;
/// The mean pause is that of this many calls at our share of the limit, as rejected probes may count there;
/// more in a fleet, up to the start of the ramp: its probes alone could overload the destination.
const PROBE_PAUSE_CALLS: f64 = 2.0;
/// Longest time over which probes are spread once a Retry-After is over, ms.
const MAX_PROBE_SPREAD: Millis = 2_000.0;

impl Policy {
    /// Our share of a destination in an outage; the shares of all senders add up to one. It is that of the
    /// demand of all senders while the fleet reports it, else an equal one.
    pub(super) fn recovery_share(&self, destination: &Destination, scope: Scope) -> f64 {
        let demand = destination.demand(scope, self.now);
        let reported = destination.throttle_of(scope).capacity.demand_fraction(self.now, demand.wanted);
        reported.unwrap_or(1.0 / self.settings.peers_total as f64)
    }

    /// The destination warms up. The call that showed it was the first of slow start: the next one is paced.
    pub(super) fn begin_slow_start(
        &mut self,
        destination: &mut Destination,
        scope: Scope,
        since: Millis,
        sent_at: Millis,
    ) {
        let share = self.recovery_share(destination, scope);
        let draw = self.rng.pause(1.0);
        let next_call_at = self.next_in_slow_start(destination, scope, since, sent_at, draw);
        destination.breaker_mut(scope).begin_slow_start(since, share, next_call_at);
    }

    /// When our next call may go in slow start: once the ramp has allowed `draw` calls since `from`, or it is
    /// over.
    pub(super) fn next_in_slow_start(
        &self,
        destination: &Destination,
        scope: Scope,
        since: Millis,
        from: Millis,
        draw: f64,
    ) -> Millis {
        let limit = destination.throttle_of(scope).limit;
        let shared_by = if destination.routes_apart || scope == Scope::All {
            1
        } else {
            destination.ready_routes().count().max(1)
        };
        let ours_per_ms = self.recovery_share(destination, scope) * limit / shared_by as f64 / 1_000.0;
        let allowed = |after: Millis| ours_per_ms * self.settings.ramp(after);
        let duration = self.settings.recovery_duration;
        // The first pause is long, and capacity grows meanwhile; that it grows later too is margin.
        let growth = if from > since { 0.0 } else { (allowed(duration) - allowed(0.0)) / duration.max(1.0) };
        let rate = allowed(from - since);
        let pause = 2.0 * draw / (rate + (rate * rate + 2.0 * growth * draw).sqrt());
        (from + pause).min(since + duration)
    }

    /// Goes on with a slow start from before a restart, which came somewhere between two calls.
    pub(super) fn restore_slow_start(
        &mut self,
        destination: &mut Destination,
        scope: Scope,
        since: Millis,
        share: f64,
    ) {
        let draw = self.rng.unit();
        let next_call_at = self.next_in_slow_start(destination, scope, since, self.now, draw);
        destination.breaker_mut(scope).begin_slow_start(since, share, next_call_at);
    }

    /// Opens a circuit breaker, or keeps it open; the next half-open probe goes after `min_pause` at the
    /// least.
    pub(super) fn open_breaker(
        &mut self,
        destination: &mut Destination,
        scope: Scope,
        min_pause: Millis,
        silent: bool,
    ) {
        let throttle = destination.throttle_of(scope);
        let our_rate = throttle.limit * self.recovery_share(destination, scope);
        // The pause that keeps all senders together to what the destination bears when it returns.
        let ramp_pause = 1_000.0 / (our_rate * self.settings.ramp(0.0));
        let probe_at = if throttle.retry_after_until > self.now {
            // At the end of a Retry-After there is capacity until others have taken it. All senders with the
            // same one return then: they spread their probes, together no faster than the ramp begins.
            let spread = ramp_pause.min(MAX_PROBE_SPREAD * self.fleet_scale());
            throttle.retry_after_until + spread * self.rng.unit()
        } else {
            let pause = PROBE_PAUSE_CALLS * self.fleet_scale() * 1_000.0 / our_rate;
            let mean_pause = pause.min(ramp_pause * RAMP_SHARE).max(MIN_PROBE_PAUSE);
            self.now + self.rng.pause(mean_pause).max(min_pause)
        };
        destination.breaker_mut(scope).open(self.now, probe_at, silent);
    }
}

impl Settings {
    /// The multiple of its limit that all senders together may send to a destination, this long after its
    /// return in ms.
    pub fn ramp(&self, since_return: Millis) -> f64 {
        let start = self.recovery_start_share;
        let recovered = start + (1.0 - start) * self.recovery_progress(since_return);
        RAMP_SHARE * self.overload_multiple / self.rate_uncertainty() * recovered
    }

    /// How far a destination has recovered this long after its return in ms: from 0 to 1.
    pub(super) fn recovery_progress(&self, since_return: Millis) -> f64 {
        (since_return / self.recovery_duration.max(1.0)).clamp(0.0, 1.0)
    }

    /// The factor by which listed limits may be wrong.
    pub(super) fn rate_uncertainty(&self) -> f64 {
        if self.rate_hint == RateHint::Rough { ROUGH_RATE_MARGIN } else { 1.0 }
    }
}
