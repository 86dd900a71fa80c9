//! Divides a tenant's fleet-wide quota among the senders. Each sender enforces its share by a token bucket.
//!
//! Invariant: all senders together admit at most twice the quota per second, plus one initial burst per sender, even if
//! datagrams are lost, as long as the usage intervals contain the true number of messages.

use rudderspindle_clock::UnixMillis;

use super::UsageInterval;

/// Size of the bucket, as the time in milliseconds in which the sender's share fills it; the same as in the admission
/// policy.
pub const BURST_MS: f64 = 2_000.0;
/// Minimum size of the bucket, in messages.
pub const MIN_BURST: f64 = 4.0;
/// Upper bound on the sum of all senders' shares, as a multiple of the quota.
///
/// The shares by accepted messages add up to at most one, because each is a fraction of an upper bound on the total. The
/// equal shares, which are each sender's minimum, add up to one as well.
pub const MAX_TOTAL_SHARE: f64 = 2.0;

/// One sender's share of a fleet-wide quota, from 0 to 1, in a fleet of `senders` senders.
///
/// The share is the ratio of the messages that the sender accepted to the upper bound on the messages that the fleet
/// accepted in the same epochs, but at least an equal share.
pub fn quota_share(own_messages: u64, fleet_usage: &UsageInterval, senders: usize) -> f64 {
    let equal_share = 1.0 / senders.max(1) as f64;
    if fleet_usage.max == 0 {
        equal_share
    } else {
        (own_messages as f64 / fleet_usage.max as f64).clamp(equal_share, 1.0)
    }
}

/// A tenant's token bucket at one sender.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::QuotaBucket;
/// let start = UnixMillis(0);
/// let mut bucket = QuotaBucket::new(start);
/// let admitted = (0..20).filter(|_| bucket.try_admit(start, 5.0)).count();
/// assert_eq!(admitted, 10); // a burst of two seconds
/// assert!(bucket.try_admit(start + 200, 5.0) && !bucket.try_admit(start + 200, 5.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    /// Number of messages that may be admitted. It is infinite before the first message, so that the bucket starts full.
    tokens: f64,
    /// When `tokens` was last updated.
    updated_at: UnixMillis,
}

impl QuotaBucket {
    /// Creates a full bucket at `now`.
    pub fn new(now: UnixMillis) -> Self {
        Self { tokens: f64::INFINITY, updated_at: now }
    }

    /// Takes a token for one message. Returns `false` if there is none. `per_second` is this sender's share of the quota, in
    /// messages per second.
    pub fn try_admit(&mut self, now: UnixMillis, per_second: f64) -> bool {
        let elapsed_ms = now.millis_since(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        let capacity = (per_second * BURST_MS / 1_000.0).max(MIN_BURST);
        let tokens = (self.tokens + elapsed_ms * per_second / 1_000.0).min(capacity);
        let admitted = tokens >= 1.0;
        self.tokens = if admitted { tokens - 1.0 } else { tokens };
        admitted
    }
}

#[cfg(test)]
mod tests;
