//! One sender's share of one limit: the rate that the fleet's demand leaves to it, and the permits that it may use.
//!
//! The policy asks for a rate and records its calls. Without a recent update there is no shared rate, and the policy's own
//! rate control applies. Where permits are required each call uses one up, and the shared rate does not limit further.

use std::collections::BTreeMap;

/// A time span or a point on a monotonic clock, in milliseconds.
type Millis = f64;

/// Minimum rate that a sender takes of a limit, in calls a second: one call in the life of most messages.
const MIN_RATE: f64 = 0.05;
/// How long the equal share of a limit that is new here is valid, in milliseconds: the first update arrives within it.
const EQUAL_SHARE_VALIDITY: Millis = 1_000.0;
/// Factor by which a rejected call reduces the share until the next update.
const REJECTION_FACTOR: f64 = 0.5;
/// Maximum delay of a first call at a rate of one call a second, in milliseconds: its mean is that of any other call.
const MAX_FIRST_DELAY: Millis = 2_000.0;

/// What the fleet's demand leaves of a limit to this sender, as of now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityUpdate {
    /// Calls a second for each call in demand; infinite where the limit is not near.
    pub rate_per_demand: f64,
    /// Calls in demand at all senders; 0 if unknown.
    pub fleet_demand: f64,
    /// How long the update may be relied on, in milliseconds.
    pub valid_for: Millis,
    /// Calls in demand at this sender.
    pub own_demand: f64,
    /// The limit of all senders together, in calls a second.
    pub limit: f64,
}

/// The next call that a sender has scheduled at a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledCall {
    /// When it is due, in milliseconds on a monotonic clock.
    pub due_at: Millis,
    /// End of a Retry-After period before which it does not start, in milliseconds on a monotonic clock.
    pub not_before: Millis,
}

/// A permit as the policy uses it, on a monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitLease {
    /// Number of the permit, unique at its limit.
    pub number: u64,
    /// Start of its validity, in milliseconds.
    pub from: Millis,
    /// End of its validity (exclusive), in milliseconds.
    pub until: Millis,
}

/// A lease, and whether a call has used it up.
#[derive(Clone, Copy, Debug)]
struct TrackedLease {
    from: Millis,
    until: Millis,
    is_used: bool,
}

/// One sender's share of one limit, and counts of its calls there.
#[derive(Clone, Debug, Default)]
pub struct CapacityShare {
    /// Calls a second for each call in demand.
    rate_per_demand: f64,
    valid_until: Millis,
    /// Calls in demand at all senders; 0 if unknown.
    fleet_demand: f64,
    /// The shared rate by which the next call was scheduled; 0 if it was not scheduled by one.
    scheduled_rate: f64,
    /// Leases by permit number; `None` where calls need no permit.
    leases: Option<BTreeMap<u64, TrackedLease>>,
    /// Calls started so far.
    pub calls: u64,
    /// Calls that the destination rejected so far.
    pub rejected: u64,
    /// Calls that failed so far.
    pub failed: u64,
}

impl CapacityShare {
    /// An equal share of a limit that no update has reported yet: all senders may start there at the same moment, as
    /// after a failure.
    pub fn equal(now: Millis, limit: f64, senders: usize) -> Self {
        Self {
            rate_per_demand: limit / senders as f64,
            valid_until: now + EQUAL_SHARE_VALIDITY,
            ..Self::default()
        }
    }

    /// The same share, with a permit required for each call; none has been granted yet.
    #[must_use]
    pub fn requiring_permits(mut self) -> Self {
        self.leases = Some(BTreeMap::new());
        self
    }

    /// Replaces the leases, and requires one for each call from now on. One that was used stays used.
    pub fn set_leases(&mut self, now: Millis, leases: &[PermitLease]) {
        let mut tracked = self.leases.take().unwrap_or_default();
        tracked.retain(|_, lease| lease.is_used && lease.until > now);
        for lease in leases.iter().filter(|lease| lease.until > now) {
            let unused = TrackedLease { from: lease.from, until: lease.until, is_used: false };
            tracked.entry(lease.number).or_insert(unused);
        }
        self.leases = Some(tracked);
    }

    /// When the next lease starts: in the past if one is valid, never (infinite) without one, always (negative infinite)
    /// where calls need no permit.
    pub fn next_lease_at(&self, now: Millis) -> Millis {
        let Some(leases) = &self.leases else { return f64::NEG_INFINITY };
        let usable = leases.values().filter(|lease| !lease.is_used && lease.until > now);
        usable.map(|lease| lease.from).fold(f64::INFINITY, f64::min)
    }

    /// The shared rate of a sender with so much demand at such a limit, in calls a second; `None` without a recent
    /// update, infinite where permits limit the calls.
    pub fn rate(&self, now: Millis, demand: f64, limit: f64) -> Option<f64> {
        if self.valid_until <= now {
            return None;
        }
        if self.leases.is_some() {
            return Some(f64::INFINITY);
        }
        Some((self.rate_per_demand * demand).clamp(MIN_RATE, limit.max(MIN_RATE)))
    }

    /// This sender's fraction of the fleet's demand, while that is known; the fractions add up to at most one.
    pub fn demand_fraction(&self, now: Millis, demand: f64) -> Option<f64> {
        let is_known = self.valid_until > now && self.fleet_demand > 0.0;
        is_known.then(|| (demand.max(1.0) / self.fleet_demand).min(1.0))
    }

    /// Applies an update. Returns when the scheduled call is due now: if it was scheduled by an older shared rate, the
    /// rest of its delay is scaled to the new one, a Retry-After period before it is not.
    pub fn apply(&mut self, now: Millis, update: &CapacityUpdate, scheduled: ScheduledCall) -> Millis {
        self.rate_per_demand = update.rate_per_demand;
        self.fleet_demand = update.fleet_demand;
        self.valid_until = now + update.valid_for;
        let delay_starts_at = now.max(scheduled.not_before);
        let is_due = scheduled.due_at <= delay_starts_at;
        if is_due || self.scheduled_rate == 0.0 || self.leases.is_some() {
            return scheduled.due_at;
        }
        let rate = self.rate(now, update.own_demand, update.limit).unwrap_or(update.limit);
        let old_rate = std::mem::replace(&mut self.scheduled_rate, rate);
        delay_starts_at + (scheduled.due_at - delay_starts_at) * old_rate / rate
    }

    /// When the first call of a sender without earlier demand is due, at a shared rate and a random draw from 0 to 1;
    /// `None` where the limit is not near.
    ///
    /// Nothing is saved up while there is no demand: the sender waits like all others, and a burst of many is reported
    /// before all of it has started.
    pub fn schedule_first_call(&mut self, now: Millis, rate: f64, draw: f64) -> Option<Millis> {
        if !self.rate_per_demand.is_finite() {
            return None;
        }
        self.scheduled_rate = rate;
        Some(now + MAX_FIRST_DELAY / rate * draw)
    }

    /// Records that the next call is scheduled by a shared rate. Returns the mean time to it, in milliseconds.
    pub fn schedule_call(&mut self, rate: f64) -> Millis {
        self.scheduled_rate = rate;
        1_000.0 / rate
    }

    /// Records a call that starts, and uses up the valid lease that ends first. `rate` is the shared rate by which the
    /// next one is scheduled, if any.
    pub fn record_call(&mut self, now: Millis, rate: Option<f64>) {
        self.calls += 1;
        let is_valid = |lease: &&mut TrackedLease| !lease.is_used && lease.from <= now && now < lease.until;
        let valid = self.leases.iter_mut().flat_map(BTreeMap::values_mut).filter(is_valid);
        if let Some(lease) = valid.min_by(|a, b| a.until.total_cmp(&b.until)) {
            lease.is_used = true;
        }
        self.scheduled_rate = rate.unwrap_or(0.0);
    }

    /// Records a call that the destination rejected, and reduces the share until the next update.
    pub fn record_rejection(&mut self) {
        self.rejected += 1;
        self.rate_per_demand = self.rate_per_demand.min(1.0) * REJECTION_FACTOR;
    }
}

#[cfg(test)]
mod tests;
