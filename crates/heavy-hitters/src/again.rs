//! Idempotency keys that several senders were handed: a client that comes again while its first copy is alive.
//!
//! Invariant: a key is repeated only if two distinct senders at least have told of it within one window.

use crate::{Key, PANES, View};

/// A key that several senders were handed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeated {
    /// So many senders at least.
    pub senders: u16,
    /// So many copies at least.
    pub copies: u64,
    /// When the window ended in which they were handed in, ms of the shared clock.
    pub until: u64,
}

/// Whether several senders were handed this key, by a view that is no older than a window.
///
/// Not every such key is found: what a digest has no room for is not told. Of keys that come equally often all senders
/// tell the same ones first, drawn anew for each pane, so that what comes at several of them is told by all or none.
#[must_use]
pub fn repeated(view: &View, key: Key, now: u64, pane_ms: u64) -> Option<Repeated> {
    let until = view.panes().end.saturating_mul(pane_ms);
    if now.abs_diff(until) >= PANES * pane_ms {
        return None;
    }
    let sum = view.keys().iter().find(|sum| sum.key == key && sum.senders > 1)?;
    Some(Repeated { senders: sum.senders, copies: sum.least, until })
}
