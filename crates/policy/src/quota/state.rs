//! What is left of the tenants' quotas, and the shares that were reported. No decision.

use crate::interface::Millis;

/// A token bucket for each tenant.
#[derive(Debug)]
pub(crate) struct Quotas {
    pub(super) buckets: Vec<TokenBucket>,
    /// Messages of all tenants so far.
    pub(super) arrivals: f64,
}

/// What is left of a tenant's quota at this sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Messages left within the quota.
    pub(super) tokens: f64,
    pub(super) refilled_at: Millis,
    /// Messages per second that the fleet's counts leave to this sender, where they are known.
    pub(super) reported_per_s: Option<f64>,
}

impl Quotas {
    /// Quotas of which nothing is used.
    pub fn new(tenants: usize) -> Self {
        let full = TokenBucket { tokens: f64::INFINITY, refilled_at: 0.0, reported_per_s: None };
        Self { buckets: vec![full; tenants], arrivals: 0.0 }
    }

    /// Sets this sender's share of a tenant's quota, in messages per second; none where nothing is known of
    /// others.
    pub fn set_share(&mut self, tenant: usize, per_s: Option<f64>) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.reported_per_s = per_s;
        }
    }
}
