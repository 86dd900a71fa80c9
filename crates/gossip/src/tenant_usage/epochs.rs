//! Which epochs are counted, retained and read at a time on the shared wall clock.

use std::ops::Range;

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

/// The epochs of a reading over the last `epochs`, clamped to 1 to `MAX_READ_EPOCHS`, that is made at `now` (ms since
/// 1970).
pub fn read_epochs(now: u64, epochs: u64) -> Range<u64> {
    let end = (now / EPOCH + 1).saturating_sub(LAG);
    end.saturating_sub(epochs.clamp(1, MAX_READ_EPOCHS))..end
}

/// The epochs whose registers and slices are kept; those to come are what a clock that went back leaves behind.
pub(super) fn retained_epochs(now: u64) -> Range<u64> {
    oldest_retained_epoch(now)..now / EPOCH + RETAINED_EPOCHS
}

/// The oldest epoch that is kept.
pub(super) fn oldest_retained_epoch(now: u64) -> u64 {
    (now / EPOCH + 1).saturating_sub(RETAINED_EPOCHS)
}

/// Whether messages of other senders on an epoch are accepted; the running one is over where their clock is ahead.
pub(super) fn is_accepted(now: u64, epoch: u64) -> bool {
    epoch <= now / EPOCH && epoch.saturating_add(RETAINED_EPOCHS) > now / EPOCH
}
