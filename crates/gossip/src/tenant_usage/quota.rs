//! Dividing a tenant's quota of the whole fleet among its senders, and the token bucket that enforces a sender's share.
//!
//! Invariant: whatever messages are lost, all senders together admit at most twice the quota a second (and at first a
//! burst each), as long as the readings hold the true number.

use rudderspindle_clock::UnixMillis;

use super::UsageInterval;

/// Size of the bucket, in ms of the sender's share; the same as in the admission policy.
pub const BURST_MS: f64 = 2_000.0;
/// Minimum size of the bucket, in messages.
pub const MIN_BURST: f64 = 4.0;
/// Upper bound on the sum of all senders' shares, in quotas.
///
/// Shares by traffic come to one at most, since each is a part of the upper bound on the whole; and the equal shares that
/// everybody has at least come to one at most again.
pub const MAX_TOTAL_SHARE: f64 = 2.0;

/// The share, 0 to 1, of a quota of the whole fleet that one of `senders` may admit.
///
/// It is in proportion to `own` messages of the `fleet`'s in the same epochs, and an equal share at least.
pub fn quota_share(own: u64, fleet: &UsageInterval, senders: usize) -> f64 {
    let equal_share = 1.0 / senders.max(1) as f64;
    if fleet.max == 0 { equal_share } else { (own as f64 / fleet.max as f64).clamp(equal_share, 1.0) }
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
    /// Messages that may be admitted; infinite before the first one, which caps it at the burst.
    tokens: f64,
    /// When the tokens were counted.
    updated_at: UnixMillis,
}

impl QuotaBucket {
    /// A full bucket at `now`.
    pub fn new(now: UnixMillis) -> Self {
        Self { tokens: f64::INFINITY, updated_at: now }
    }

    /// Takes a token for a message if there is one, where `per_second` messages a second are this sender's share.
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
