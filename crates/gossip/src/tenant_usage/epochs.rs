//! The epochs that are counted, retained and read at a point in time.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

/// Length of an epoch, in milliseconds.
pub const EPOCH: u64 = 1_000;
/// Number of retained epochs, including the current one.
pub const RETAINED_EPOCHS: u64 = 10;
/// Age of the newest epoch that is read, in epochs.
///
/// An epoch is reported in the following three epochs, and the summaries arrive afterwards.
pub const LAG: u64 = 4;
/// Maximum number of epochs in one reading.
pub const MAX_READ_EPOCHS: u64 = RETAINED_EPOCHS - LAG;

/// The epoch that a time lies in.
pub(crate) fn epoch_at(now: UnixMillis) -> u64 {
    now.0 / EPOCH
}

/// When an epoch starts, at most the last time that can be represented.
pub(crate) fn epoch_start(epoch: u64) -> UnixMillis {
    UnixMillis(epoch.saturating_mul(EPOCH))
}

/// The epochs that a reading at `now` covers: the last `epochs`, clamped to 1 to `MAX_READ_EPOCHS`.
pub fn read_epochs(now: UnixMillis, epochs: u64) -> Range<u64> {
    let end = (epoch_at(now) + 1).saturating_sub(LAG);
    end.saturating_sub(epochs.clamp(1, MAX_READ_EPOCHS))..end
}

/// The epochs whose registers and slices are kept, including future ones in case the clock was set back.
pub(super) fn retained_epochs(now: UnixMillis) -> Range<u64> {
    oldest_retained_epoch(now)..epoch_at(now) + RETAINED_EPOCHS
}

/// The oldest epoch that is kept.
pub(super) fn oldest_retained_epoch(now: UnixMillis) -> u64 {
    (epoch_at(now) + 1).saturating_sub(RETAINED_EPOCHS)
}

/// Whether registers and slices of an epoch are accepted from other senders, also of the current one, as their clocks may
/// be ahead.
pub(super) fn is_accepted(now: UnixMillis, epoch: u64) -> bool {
    epoch <= epoch_at(now) && epoch.saturating_add(RETAINED_EPOCHS) > epoch_at(now)
}
