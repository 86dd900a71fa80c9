//! Tenant quotas: whether a message is within its tenant's quota at this sender.

use crate::interface::{Millis, Settings, Tenant};

/// A tenant may submit a burst at once: as many messages as its quota allows in this time, in ms.
const BURST: Millis = 2_000.0;
/// Minimum burst of a tenant, in messages.
const MIN_BURST: f64 = 4.0;
/// Minimum time, in ms, over which the rate of arrivals is averaged.
const MIN_ARRIVAL_SPAN: Millis = 1_000.0;

/// A token bucket for each tenant.
#[derive(Debug)]
pub(crate) struct Quotas {
    buckets: Vec<TokenBucket>,
    /// Number of messages of all tenants since the start.
    arrivals: f64,
}

/// The token bucket of one tenant's quota at this sender.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Number of messages that are still within the quota.
    tokens: f64,
    refilled_at: Millis,
    /// This sender's share of the quota, in messages per second; `None` while the fleet does not report it.
    reported_share: Option<f64>,
}

impl Quotas {
    /// Creates a full bucket for each tenant.
    pub fn new(tenants: usize) -> Self {
        let full = TokenBucket { tokens: f64::INFINITY, refilled_at: 0.0, reported_share: None };
        Self { buckets: vec![full; tenants], arrivals: 0.0 }
    }

    /// Sets this sender's share of a tenant's quota, in messages per second; `None` if the usage of the fleet
    /// is unknown.
    pub fn set_share(&mut self, tenant: usize, messages_per_s: Option<f64>) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.reported_share = messages_per_s;
        }
    }

    /// Counts a message of this tenant. Returns whether the message is within the quota; messages of unknown
    /// tenants always are.
    pub fn admits(&mut self, now: Millis, settings: &Settings, tenant: usize) -> bool {
        self.arrivals += 1.0;
        let Some(tenant_settings) = settings.tenants.get(tenant) else { return true };
        let Some(bucket) = self.buckets.get_mut(tenant) else { return true };
        let messages_per_ms = match bucket.reported_share {
            Some(messages_per_s) => messages_per_s / 1_000.0,
            None => assumed_share(now, settings, tenant_settings, self.arrivals),
        };
        bucket.take(now, messages_per_ms)
    }
}

/// This sender's share of a tenant's quota, in messages per ms, while the fleet does not report it: an equal
/// share.
fn assumed_share(now: Millis, settings: &Settings, tenant: &Tenant, arrivals: f64) -> f64 {
    let equal_share = tenant.quota_per_s / settings.peers_total as f64 / 1_000.0;
    if equal_share * BURST >= MIN_BURST {
        return equal_share;
    }
    // Extension (an equal share of a quota is few messages): the tenant's share of the arrivals at this
    // sender is used if it is greater, because the messages of a small quota may reach few senders.
    let total_quota: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
    equal_share.max(tenant.quota_per_s / total_quota * arrivals / now.max(MIN_ARRIVAL_SPAN))
}

impl TokenBucket {
    /// Refills the bucket and takes one token. Returns whether the bucket had a token.
    fn take(&mut self, now: Millis, messages_per_ms: f64) -> bool {
        let capacity = (messages_per_ms * BURST).max(MIN_BURST);
        self.tokens = (self.tokens + (now - self.refilled_at) * messages_per_ms).min(capacity);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests;
