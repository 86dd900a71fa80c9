//! The schedule of a limit's permits: the start and the owner of each permit. All senders compute the same schedule,
//! because they use integer arithmetic.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

use crate::limit_id::LimitId;
use crate::peer_selection::hash_words;

/// The fraction of a limit for which permits exist. It is below 1 because calls arrive at the destination less evenly
/// than they start.
const ISSUED_FRACTION: f64 = 0.95;
/// Minimum time between the starts of two permits, in microseconds. It allows 125,000 calls a second.
const MIN_INTERVAL_US: f64 = 8.0;
/// Maximum time between the starts of two permits, in microseconds. It allows one call an hour.
const MAX_INTERVAL_US: f64 = 3.6e9;

/// Permit number `k` starts `k` intervals after the Unix epoch (1970). The senders own the permits in rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitSchedule {
    /// Time between the starts of two consecutive permits, in microseconds.
    interval_us: u64,
    sender_count: u64,
    /// Offset of the rotation of owners. It differs between limits, so that permits with the same number have different
    /// owners.
    phase: u64,
}

impl PermitSchedule {
    /// The schedule of a limit of `limit` calls a second. If `limit` is not a positive number, the permits start at the
    /// maximum interval.
    pub fn new(limit_id: LimitId, limit: f64, sender_count: usize) -> Self {
        let interval = 1e6 / (limit * ISSUED_FRACTION);
        let interval = if interval.is_nan() || interval <= 0.0 {
            MAX_INTERVAL_US
        } else {
            interval.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US)
        };
        Self {
            interval_us: interval.round() as u64,
            sender_count: sender_count.max(1) as u64,
            phase: u64::from(limit_id.0),
        }
    }

    /// When a permit starts.
    pub fn starts_at(&self, number: u64) -> UnixMillis {
        UnixMillis(number.saturating_mul(self.interval_us) / 1_000)
    }

    /// The number of the sender that owns a permit.
    #[cfg(test)]
    pub fn owner(&self, number: u64) -> usize {
        (number.wrapping_add(self.phase) % self.sender_count) as usize
    }

    /// The numbers of the permits that start in a time span.
    pub fn starting_in(&self, span: Range<UnixMillis>) -> Range<u64> {
        let first_from = |time: UnixMillis| time.0.saturating_mul(1_000).div_ceil(self.interval_us);
        first_from(span.start)..first_from(span.end)
    }

    /// The numbers of one sender's permits that start in a time span, ascending.
    pub fn owned_by(&self, sender: usize, span: Range<UnixMillis>) -> impl Iterator<Item = u64> + use<> {
        let Range { start, end } = self.starting_in(span);
        let first_owner = start.wrapping_add(self.phase) % self.sender_count;
        let first_offset = (sender as u64 + self.sender_count - first_owner) % self.sender_count;
        (start + first_offset..end).step_by(self.sender_count as usize)
    }

    /// Checksum by which senders detect that their schedules differ.
    pub fn checksum(&self) -> u16 {
        hash_words([self.interval_us, self.sender_count]) as u16
    }
}

#[cfg(test)]
mod tests;
