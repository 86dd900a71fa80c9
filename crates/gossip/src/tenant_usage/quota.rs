//! Whether a message is within its tenant's share of the whole fleet.
//!
//! Invariant: whoever hears what, all senders together let in at most twice the quota a second (and a burst each at first),
//! as long as the readings hold the truth.

use super::Interval;

/// What a sender may let in at once of its part of a quota, in ms of it; as its decisions have it.
pub const BURST: f64 = 2_000.0;
/// ...and in messages at least.
pub const LEAST_BURST: f64 = 4.0;
/// All parts of a quota together, at most, in quotas: parts by traffic come to one at most, since each is taken of what
/// all handed in at most; and nobody has less than an equal part, which comes to one at most again.
pub const MAX_USAGE: f64 = 2.0;

/// The part of a quota of the whole fleet that one of `senders` may let in, 0 to 1, where `own` of what the reading is of
/// was handed in here: in proportion, and an equal part at least.
pub fn part(own: u64, all: &Interval, senders: usize) -> f64 {
    let equal = 1.0 / senders.max(1) as f64;
    if all.most == 0 { equal } else { (own as f64 / all.most as f64).clamp(equal, 1.0) }
}

/// One tenant's bucket at one sender.
///
/// ```
/// use rudderspindle_gossip::Quota;
/// let mut quota = Quota::new(0);
/// let within = (0..20).filter(|_| quota.lets_in(0, 5.0)).count();
/// assert_eq!(within, 10); // a burst of two seconds
/// assert!(quota.lets_in(200, 5.0) && !quota.lets_in(200, 5.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Messages that may be let in; more than any burst before the first.
    left: f64,
    /// When that was so, ms.
    at: u64,
}

impl Quota {
    /// A full bucket.
    pub fn new(now: u64) -> Self {
        Self { left: f64::INFINITY, at: now }
    }

    /// Whether a message is within the share, where `per_s` messages a second are: its room is used if so.
    pub fn lets_in(&mut self, now: u64, per_s: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        let most = (per_s * BURST / 1_000.0).max(LEAST_BURST);
        let left = (self.left + passed * per_s / 1_000.0).min(most);
        let within = left >= 1.0;
        self.left = if within { left - 1.0 } else { left };
        within
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn all_parts_come_to_two_quotas_at_most_whoever_hears_what(
            own in proptest::collection::vec((0_u64..500, 0_u64..2_000, any::<bool>()), 1..40),
        ) {
            let truth: u64 = own.iter().map(|(own, ..)| own).sum();
            let parts = own.iter().map(|(own_here, unheard, hears)| {
                let most = truth + if *hears { 0 } else { *unheard };
                let all = Interval { least: *own_here, most, heard: 1, at: None };
                part(*own_here, &all, own.len())
            });
            let all: f64 = parts.sum();
            prop_assert!(all <= MAX_USAGE + 1e-9, "{all}");
            prop_assert!(all >= 1.0 - 1e-9, "{all}: what an equal part each has is always there");
        }
    }

    #[test]
    fn a_sender_that_has_half_of_a_tenants_traffic_has_half_of_its_quota() {
        let all = Interval { least: 200, most: 220, heard: 300, at: Some(1) };
        assert!((part(110, &all, 300) - 0.5).abs() < 1e-9);
        assert!((part(0, &all, 300) - 1.0 / 300.0).abs() < 1e-9);
        let nothing = Interval { least: 0, most: 0, heard: 300, at: Some(1) };
        assert!((part(0, &nothing, 300) - 1.0 / 300.0).abs() < 1e-9);
    }
}
