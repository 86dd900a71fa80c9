//! Detection of idempotency keys that several senders accepted: a client retries at another sender while the
//! first copy of its message is in progress.
//!
//! Invariant: a key is repeated only if at least two distinct senders have reported it within one window.

use rudderspindle_clock::UnixMillis;

use crate::fleet_view::FleetView;
use crate::key::Key;
use crate::slice::SLICES_PER_WINDOW;

/// An idempotency key that several senders accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatedKey {
    /// Lower bound of the number of senders that accepted the key.
    pub min_senders: u16,
    /// Lower bound of the number of messages with the key.
    pub min_copies: u64,
    /// End of the window in which the messages were accepted.
    pub window_end: UnixMillis,
}

/// Returns bounds on the copies of an idempotency key, or `None` unless the view lists the key as accepted by several
/// senders and the window of the view ended less than one window before or after `now`. A slice has `slice_ms`
/// milliseconds.
///
/// Not every repeated key is found because digests do not list all keys. To make a match likely, all senders
/// order equally frequent keys in the same way, which differs from slice to slice, so that a key is published
/// by all senders that accepted it or by none.
#[must_use]
pub fn find_repeated_key(view: &FleetView, key: Key, now: UnixMillis, slice_ms: u64) -> Option<RepeatedKey> {
    let window_end = UnixMillis(view.slices().end.0.saturating_mul(slice_ms));
    if now.0.abs_diff(window_end.0) >= SLICES_PER_WINDOW * slice_ms {
        return None;
    }
    let total = view.repeated_keys().iter().find(|total| total.key == key && total.senders > 1)?;
    Some(RepeatedKey { min_senders: total.senders, min_copies: total.min, window_end })
}
