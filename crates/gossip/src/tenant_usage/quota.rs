//! Divides a tenant's fleet-wide quota among the senders; a token bucket enforces a sender's share.
//!
//! Invariant: all senders together admit at most twice the quota a second (and initially a burst each), also if messages are
//! lost, as long as the readings hold the true number.

use rudderspindle_clock::UnixMillis;

use super::UsageInterval;

/// Size of the bucket, in milliseconds of the sender's share; the same as in the admission policy.
pub const BURST_MS: f64 = 2_000.0;
/// Minimum size of the bucket, in messages.
pub const MIN_BURST: f64 = 4.0;
/// Upper bound on the sum of all senders' shares, in quotas.
///
/// The shares by traffic add up to at most one, as each is a fraction of the upper bound on the total, and so do the equal
/// shares, which are each sender's minimum.
pub const MAX_TOTAL_SHARE: f64 = 2.0;

/// The share, from 0 to 1, of a fleet-wide quota for one of `senders`.
///
/// It is the fraction of `own` messages in the `fleet`'s messages of the same epochs, at least an equal share.
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
    /// Number of messages that may be admitted; infinite, thus a full burst, before the first one.
    tokens: f64,
    /// When the tokens were counted.
    updated_at: UnixMillis,
}

impl QuotaBucket {
    /// A full bucket at `now`.
    pub fn new(now: UnixMillis) -> Self {
        Self { tokens: f64::INFINITY, updated_at: now }
    }

    /// Takes a token for a message, if there is one; `per_second` is this sender's share in messages a second.
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
