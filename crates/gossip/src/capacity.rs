//! One sender's share of one limit: the part of the fleet's rate that the sender may use, and the permits that it holds.
//!
//! Without a recent update there is no shared rate, and only the policy's own rate control applies. If permits are required
//! at the limit, each call uses one permit, and the shared rate does not limit the calls.

use std::collections::BTreeMap;

/// A time span or a point in time on a monotonic clock, in milliseconds.
type Millis = f64;

/// Minimum shared rate of a sender, in calls a second. It allows one call within the time in which most messages expire.
const MIN_RATE: f64 = 0.05;
/// How long an equal share is valid, in milliseconds. The first update is received within this time.
const EQUAL_SHARE_VALIDITY: Millis = 1_000.0;
/// Factor by which a rejected call reduces the share until the next update.
const REJECTION_FACTOR: f64 = 0.5;
/// Maximum delay of a first call at a rate of one call a second, in milliseconds. The mean delay is half of it.
const MAX_FIRST_DELAY: Millis = 2_000.0;

/// An update of one sender's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityUpdate {
    /// Calls a second for each call in demand; infinite while the limit is far from reached.
    pub rate_per_demand: f64,
    /// Calls in demand at all senders; 0 if unknown.
    pub fleet_demand: f64,
    /// How long the update is valid, in milliseconds.
    pub valid_for: Millis,
    /// Calls in demand at this sender.
    pub own_demand: f64,
    /// The limit of all senders together, in calls a second.
    pub limit: f64,
}

/// The next call that a sender has scheduled at a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledCall {
    /// When the call is due, in milliseconds on a monotonic clock.
    pub due_at: Millis,
    /// End of a Retry-After period before which the call does not start, in milliseconds on a monotonic clock.
    pub not_before: Millis,
}

/// A permit with its validity on a monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitLease {
    /// Number of the permit, unique at its limit.
    pub number: u64,
    /// Start of the permit's validity, in milliseconds.
    pub from: Millis,
    /// End of the permit's validity (exclusive), in milliseconds.
    pub until: Millis,
}

/// A lease, and whether a call has used it.
#[derive(Clone, Copy, Debug)]
struct TrackedLease {
    from: Millis,
    until: Millis,
    is_used: bool,
}

/// One sender's share of one limit, and counts of its calls at the limit.
#[derive(Clone, Debug, Default)]
pub struct CapacityShare {
    /// Calls a second for each call in demand.
    rate_per_demand: f64,
    valid_until: Millis,
    /// Calls in demand at all senders; 0 if unknown.
    fleet_demand: f64,
    /// The shared rate by which the next call was scheduled; 0 if it was not scheduled by a shared rate.
    scheduled_rate: f64,
    /// Leases by permit number; `None` if calls need no permit.
    leases: Option<BTreeMap<u64, TrackedLease>>,
    /// Calls started so far.
    pub calls: u64,
    /// Calls that the destination rejected so far.
    pub rejected: u64,
    /// Calls that failed so far.
    pub failed: u64,
}

impl CapacityShare {
    /// An equal share of a limit for which no update has been received. It is equal because all `sender_count` senders
    /// may start to call at the same time.
    pub fn equal(now: Millis, limit: f64, sender_count: usize) -> Self {
        Self {
            rate_per_demand: limit / sender_count as f64,
            valid_until: now + EQUAL_SHARE_VALIDITY,
            ..Self::default()
        }
    }

    /// The same share, with a permit required for each call and none granted yet.
    #[must_use]
    pub fn requiring_permits(mut self) -> Self {
        self.leases = Some(BTreeMap::new());
        self
    }

    /// Replaces the leases, and requires a lease for each call from now on. A used lease stays used if it is set again.
    pub fn set_leases(&mut self, now: Millis, leases: &[PermitLease]) {
        let mut tracked = self.leases.take().unwrap_or_default();
        tracked.retain(|_, lease| lease.is_used && lease.until > now);
        for lease in leases.iter().filter(|lease| lease.until > now) {
            let unused = TrackedLease { from: lease.from, until: lease.until, is_used: false };
            tracked.entry(lease.number).or_insert(unused);
        }
        self.leases = Some(tracked);
    }

    /// The start of the first unused lease that has not expired; it is in the past if the lease is valid now. Infinity if
    /// there is no such lease, and negative infinity if calls need no permit.
    pub fn next_lease_at(&self, now: Millis) -> Millis {
        let Some(leases) = &self.leases else { return f64::NEG_INFINITY };
        let unused_leases = leases.values().filter(|lease| !lease.is_used && lease.until > now);
        unused_leases.map(|lease| lease.from).fold(f64::INFINITY, f64::min)
    }

    /// The shared rate for this sender's demand at a limit, in calls a second. `None` without a recent update; infinite if
    /// permits limit the calls.
    pub fn rate(&self, now: Millis, demand: f64, limit: f64) -> Option<f64> {
        if self.valid_until <= now {
            return None;
        }
        if self.leases.is_some() {
            return Some(f64::INFINITY);
        }
        Some((self.rate_per_demand * demand).clamp(MIN_RATE, limit.max(MIN_RATE)))
    }

    /// This sender's fraction of the fleet's demand; `None` if that is unknown. The fractions of all senders add up to
    /// at most one.
    pub fn demand_fraction(&self, now: Millis, demand: f64) -> Option<f64> {
        let is_known = self.valid_until > now && self.fleet_demand > 0.0;
        is_known.then(|| (demand.max(1.0) / self.fleet_demand).min(1.0))
    }

    /// Applies an update and returns the new due time of the scheduled call. If the call was scheduled by an earlier
    /// shared rate, its remaining delay is scaled to the new rate; the part of the delay within a Retry-After period is not
    /// scaled.
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

    /// When the first call of a sender without earlier demand is due, at a shared rate and for a random number `draw`
    /// from 0 to 1; `None` while the limit is far from reached.
    ///
    /// An idle sender accumulates no unused calls, so its first call is delayed and a burst at many senders is reported
    /// before all its calls have started.
    pub fn schedule_first_call(&mut self, now: Millis, rate: f64, draw: f64) -> Option<Millis> {
        if !self.rate_per_demand.is_finite() {
            return None;
        }
        self.scheduled_rate = rate;
        Some(now + MAX_FIRST_DELAY / rate * draw)
    }

    /// Records that the next call is scheduled by a shared rate. Returns the mean time until that call, in
    /// milliseconds.
    pub fn schedule_call(&mut self, rate: f64) -> Millis {
        self.scheduled_rate = rate;
        1_000.0 / rate
    }

    /// Records the start of a call, which uses the valid lease that ends first. `rate` is the shared rate by which the
    /// next call is scheduled, if any.
    pub fn record_call(&mut self, now: Millis, rate: Option<f64>) {
        self.calls += 1;
        let is_valid = |lease: &&mut TrackedLease| !lease.is_used && lease.from <= now && now < lease.until;
        let valid_leases = self.leases.iter_mut().flat_map(BTreeMap::values_mut).filter(is_valid);
        if let Some(lease) = valid_leases.min_by(|a, b| a.until.total_cmp(&b.until)) {
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
