//! Whether a message is within its tenant's share of what this sender is handed.

use crate::interface::{Millis, Settings};

/// A tenant's burst within its share, in ms of its quota, and in messages at least.
const BURST: Millis = 2_000.0;
const LEAST: f64 = 4.0;

/// Messages left within its share for each tenant, and as of when.
#[derive(Debug)]
pub(crate) struct Quotas {
    left: Vec<(f64, Millis)>,
    /// Messages a second that the fleet's counts leave of each quota to this sender, where they tell.
    told: Vec<Option<f64>>,
    /// Messages of all tenants so far.
    taken: f64,
}

impl Quotas {
    pub fn new(tenants: usize) -> Self {
        Self { left: vec![(f64::INFINITY, 0.0); tenants], told: vec![None; tenants], taken: 0.0 }
    }

    /// What of a tenant's quota over all senders is this sender's; nothing where no word of others has come.
    pub fn tell(&mut self, tenant: usize, per_s: Option<f64>) {
        if let Some(told) = self.told.get_mut(tenant) {
            *told = per_s;
        }
    }

    /// A message of this tenant has come: whether it is within its share. One of no tenant is.
    pub fn takes(&mut self, now: Millis, settings: &Settings, tenant: usize) -> bool {
        self.taken += 1.0;
        let (Some(of), Some(share)) = (settings.tenants.get(tenant), self.left.get_mut(tenant)) else {
            return true;
        };
        let all: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let mut quota = of.quota_per_s / settings.peers_total as f64 / 1_000.0;
        if let Some(per_s) = self.told[tenant] {
            quota = per_s / 1_000.0;
        } else if quota * BURST < LEAST {
            // Departure (an equal part is few messages): its share of what comes here, if that is more.
            quota = quota.max(of.quota_per_s / all * self.taken / now.max(1_000.0));
        }
        let most = (quota * BURST).max(LEAST);
        let left = (share.0 + (now - share.1) * quota).min(most);
        let within = left >= 1.0;
        *share = (if within { left - 1.0 } else { left }, now);
        within
    }
}

#[cfg(test)]
mod tests;
