//! Determines which epochs are counted, accepted, retained and read at a given time.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

/// Length of an epoch, in milliseconds.
pub const EPOCH_LENGTH: u64 = 1_000;
/// Number of epochs that are retained: the current one and the epochs before it.
pub const RETAINED_EPOCHS: u64 = 10;
/// Age of the newest epoch that is read, in epochs.
///
/// Senders report an epoch during the following three epochs, and receive the last summaries of it after that.
pub const READ_LAG: u64 = 4;
/// Maximum number of epochs that are read at once.
pub const MAX_READ_EPOCHS: u64 = RETAINED_EPOCHS - READ_LAG;

/// The epoch that contains `now`.
pub(crate) fn epoch_at(now: UnixMillis) -> u64 {
    now.0 / EPOCH_LENGTH
}

/// When an epoch starts; saturates at the largest `UnixMillis`.
pub(crate) fn epoch_start(epoch: u64) -> UnixMillis {
    UnixMillis(epoch.saturating_mul(EPOCH_LENGTH))
}

/// The epochs that are read at `now`: the newest ones that are at least [`READ_LAG`] epochs old, `epochs` in number.
/// `epochs` is clamped to the range from 1 to `MAX_READ_EPOCHS`.
pub fn read_epochs(now: UnixMillis, epochs: u64) -> Range<u64> {
    let end = (epoch_at(now) + 1).saturating_sub(READ_LAG);
    end.saturating_sub(epochs.clamp(1, MAX_READ_EPOCHS))..end
}

/// The epochs whose registers and slices are retained, including future ones because the clock may have been set back.
pub(super) fn retained_epochs(now: UnixMillis) -> Range<u64> {
    oldest_retained_epoch(now)..epoch_at(now) + RETAINED_EPOCHS
}

/// The oldest epoch whose registers and slices are retained.
pub(super) fn oldest_retained_epoch(now: UnixMillis) -> u64 {
    (epoch_at(now) + 1).saturating_sub(RETAINED_EPOCHS)
}

/// Whether registers and slices of an epoch are accepted from other senders. Those of the current epoch are accepted
/// because the other senders' clocks may be ahead.
pub(super) fn is_accepted(now: UnixMillis, epoch: u64) -> bool {
    epoch <= epoch_at(now) && epoch.saturating_add(RETAINED_EPOCHS) > epoch_at(now)
}
