//! Each tenant's share of what this sender is handed: a bucket that fills by its quota. No decision.

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
mod tests {
    use super::*;
    use crate::interface::*;

    fn settings() -> Settings {
        let json = serde_json::json!({"extra": {"calls_out": 4}, "limits": {"max_attempts": 4, "most_held": 50},
            "kinds": ["k"], "lanes": [{"deadline": 9000.0}], "peers_total": 10,
            "projects": [{"quota_per_s": 100.0}, {"quota_per_s": 100.0}]});
        crate::settings::read(&json).expect("settings")
    }

    /// One of ten senders is handed all that a tenant has: its quota of the whole fleet is there for it, as far as counts
    /// tell; without them an equal part is.
    #[test]
    fn a_share_that_the_fleets_counts_tell_of_goes_before_an_equal_part() {
        let settings = settings();
        let mut quotas = Quotas::new(2);
        quotas.tell(0, Some(90.0));
        let within = |quotas: &mut Quotas, tenant| {
            let all = (0..2_000).map(|n| quotas.takes(1e6 + f64::from(n) * 10.0, &settings, tenant));
            all.filter(|within| *within).count()
        };
        // Twenty seconds of a hundred a second, and a burst of two.
        assert_eq!(within(&mut quotas, 0), 1_979);
        let alone = within(&mut quotas, 1);
        assert!((200..=230).contains(&alone), "{alone}");
        quotas.tell(0, None);
        quotas.tell(7, Some(1.0));
        assert!(within(&mut quotas, 0) < 400);
    }
}
