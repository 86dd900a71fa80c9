//! Which epochs are counted, retained and read at a time on the shared wall clock.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

/// Length of an epoch, ms of the shared wall clock.
pub const EPOCH: u64 = 1_000;
/// Epochs that are retained, the running one among them: enough for a reading over six.
pub const RETAINED_EPOCHS: u64 = 10;
/// How many epochs before the running one the newest one lies that is read.
///
/// An epoch is announced in the one after it and twice more, and the answers arrive when those are over.
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

/// The epochs of a reading over the last `epochs`, clamped to 1 to `MAX_READ_EPOCHS`, that is made at `now`.
pub fn read_epochs(now: UnixMillis, epochs: u64) -> Range<u64> {
    let end = (epoch_at(now) + 1).saturating_sub(LAG);
    end.saturating_sub(epochs.clamp(1, MAX_READ_EPOCHS))..end
}

/// The epochs whose registers and slices are kept; those to come are what a clock that went back leaves behind.
pub(super) fn retained_epochs(now: UnixMillis) -> Range<u64> {
    oldest_retained_epoch(now)..epoch_at(now) + RETAINED_EPOCHS
}

/// The oldest epoch that is kept.
pub(super) fn oldest_retained_epoch(now: UnixMillis) -> u64 {
    (epoch_at(now) + 1).saturating_sub(RETAINED_EPOCHS)
}

/// Whether messages of other senders on an epoch are accepted; the running one is over where their clock is ahead.
pub(super) fn is_accepted(now: UnixMillis, epoch: u64) -> bool {
    epoch <= epoch_at(now) && epoch.saturating_add(RETAINED_EPOCHS) > epoch_at(now)
}
