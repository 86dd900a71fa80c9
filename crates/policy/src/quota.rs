//! Decides whether a message is within its tenant's share of what this sender is given.

mod state;

pub(crate) use state::Quotas;

use crate::interface::{Millis, Settings, Tenant};
use state::TokenBucket;

/// A tenant's burst within its quota, in ms of that quota.
const BURST: Millis = 2_000.0;
/// A tenant's least burst, in messages.
const MIN_BURST: f64 = 4.0;
/// The time over which arrivals are averaged is this at the least, ms.
const MIN_ARRIVAL_SPAN: Millis = 1_000.0;

impl Quotas {
    /// Counts a message of this tenant; whether it is within the quota. A message of no tenant is.
    pub fn admits(&mut self, now: Millis, settings: &Settings, tenant: usize) -> bool {
        self.arrivals += 1.0;
        let Some(settings_of_tenant) = settings.tenants.get(tenant) else { return true };
        let Some(bucket) = self.buckets.get_mut(tenant) else { return true };
        let per_ms = match bucket.reported_per_s {
            Some(per_s) => per_s / 1_000.0,
            None => assumed_quota(now, settings, settings_of_tenant, self.arrivals),
        };
        bucket.take(now, per_ms)
    }
}

/// This sender's assumed part of a tenant's quota, in messages per ms: an equal one.
fn assumed_quota(now: Millis, settings: &Settings, tenant: &Tenant, arrivals: f64) -> f64 {
    let equal_part = tenant.quota_per_s / settings.peers_total as f64 / 1_000.0;
    if equal_part * BURST >= MIN_BURST {
        return equal_part;
    }
    // Departure (an equal part is few messages): the tenant's share of what arrives here, if that is more.
    let all_quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
    equal_part.max(tenant.quota_per_s / all_quotas * arrivals / now.max(MIN_ARRIVAL_SPAN))
}

impl TokenBucket {
    /// Refills the bucket, and takes a token out if there is one.
    fn take(&mut self, now: Millis, per_ms: f64) -> bool {
        let capacity = (per_ms * BURST).max(MIN_BURST);
        self.tokens = (self.tokens + (now - self.refilled_at) * per_ms).min(capacity);
        self.refilled_at = now;
        let admits = self.tokens >= 1.0;
        if admits {
            self.tokens -= 1.0;
        }
        admits
    }
}

#[cfg(test)]
mod tests;
