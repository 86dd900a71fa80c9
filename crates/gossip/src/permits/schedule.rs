//! The permits of one limit: the start and the owner of each, computed identically by all senders in integer arithmetic.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

use crate::limit_id::LimitId;
use crate::peer_selection::hash_words;

/// The fraction of a limit that is issued as permits: calls arrive at the destination less evenly than they start.
const ISSUED_FRACTION: f64 = 0.95;
/// Minimum time between permits, in microseconds: 125,000 calls a second.
const MIN_INTERVAL_US: f64 = 8.0;
/// Maximum time between permits, in microseconds: one call an hour.
const MAX_INTERVAL_US: f64 = 3.6e9;

/// Permit number `k` starts `k` intervals after 1970; the senders own the permits in rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitSchedule {
    interval_us: u64,
    senders: u64,
    /// Offset of the rotation, different for each limit.
    phase: u64,
}

impl PermitSchedule {
    /// The schedule of a limit in calls a second; a limit that is not a positive number issues the fewest permits.
    pub fn new(limit_id: LimitId, limit: f64, senders: usize) -> Self {
        let interval = 1e6 / (limit * ISSUED_FRACTION);
        let interval = if interval.is_nan() || interval <= 0.0 {
            MAX_INTERVAL_US
        } else {
            interval.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US)
        };
        Self {
            interval_us: interval.round() as u64,
            senders: senders.max(1) as u64,
            phase: u64::from(limit_id.0),
        }
    }

    /// When a permit starts.
    pub fn starts_at(&self, number: u64) -> UnixMillis {
        UnixMillis(number.saturating_mul(self.interval_us) / 1_000)
    }

    /// The owner of a permit.
    #[cfg(test)]
    pub fn owner(&self, number: u64) -> usize {
        (number.wrapping_add(self.phase) % self.senders) as usize
    }

    /// The numbers of the permits that start in a time span.
    pub fn starting_in(&self, time: Range<UnixMillis>) -> Range<u64> {
        let first_from = |time: UnixMillis| time.0.saturating_mul(1_000).div_ceil(self.interval_us);
        first_from(time.start)..first_from(time.end)
    }

    /// The numbers of one sender's permits that start in a time span, ascending.
    pub fn owned_by(&self, sender: usize, time: Range<UnixMillis>) -> impl Iterator<Item = u64> + use<> {
        let Range { start, end } = self.starting_in(time);
        let first_owner = start.wrapping_add(self.phase) % self.senders;
        let ahead = (sender as u64 + self.senders - first_owner) % self.senders;
        (start + ahead..end).step_by(self.senders as usize)
    }

    /// Checksum by which senders detect that their schedules differ.
    pub fn checksum(&self) -> u16 {
        hash_words([self.interval_us, self.senders]) as u16
    }
}

#[cfg(test)]
mod tests;
