//! The lease under which a sender acts for ruled tenants, and its recovery after a start without state.
//!
//! Invariant: a lease counts from the start of the round whose word gave it, so delay and clock error eat into it and
//! never lengthen it: it ends by true time `lease_ms + 2 * clock_error_ms` after any statement that it rests on, at the
//! latest.
use std::collections::BTreeSet;

use crate::quorum::{Count, Stand};
use crate::settings::Settings;

/// A round, ms of the shared wall clock: five of them fit between the first word in a lease of 3,000 ms and its end.
pub const ROUND_MS: u64 = 500;

/// Until when one may act, and whether one counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lease {
    /// Wall time, ms; 0 before the first.
    pub until: u64,
    /// Whether this sender holds what its earlier incarnations held.
    pub full: bool,
    started_at: u64,
    /// While not full: who has stated since the start, and who of them counts. Emptied by the recovery.
    seen: BTreeSet<u16>,
    seen_full: BTreeSet<u16>,
}

impl Lease {
    /// None at the start, with state (`full`) or without.
    pub fn new(full: bool, started_at: u64) -> Lease {
        Lease { until: 0, full, started_at, seen: BTreeSet::new(), seen_full: BTreeSet::new() }
    }

    /// Word of a round of which all sets are held. True if this sender counts from now on.
    pub fn hear(&mut self, count: &Count, settings: &Settings) -> bool {
        let recovered = !self.full && self.recover(count, settings);
        let others = count.stands.iter().enumerate();
        let others = others.filter(|(i, s)| *i != usize::from(settings.me) && matches!(s, Stand::Full(_)));
        if self.full && settings.majority(others.count() + 1) {
            self.until =
                self.until.max(count.round.saturating_mul(ROUND_MS).saturating_add(settings.lease_ms));
        }
        recovered
    }

    /// A sender whose folder is lost may have been one of more than half that put a revision in force. It counts again
    /// once it holds what more than half without it state, or what all others state, in rounds that began after it did:
    /// among those is one that held it too.
    fn recover(&mut self, count: &Count, settings: &Settings) -> bool {
        let since = self.started_at.saturating_add(settings.clock_error_ms.saturating_mul(2));
        if count.round.saturating_mul(ROUND_MS) < since {
            return false;
        }
        for (sender, stand) in count.stands.iter().enumerate().filter(|(i, _)| *i != usize::from(settings.me))
        {
            if *stand != Stand::Unheard {
                self.seen.insert(sender as u16);
            }
            if matches!(stand, Stand::Full(_)) {
                self.seen_full.insert(sender as u16);
            }
        }
        let all = self.seen.len() + 1 == usize::from(settings.senders);
        self.full = all || settings.majority(self.seen_full.len());
        if self.full {
            self.seen.clear();
            self.seen_full.clear();
        }
        self.full
    }

    /// Whether one may act for ruled tenants now.
    pub fn holds(&self, now: u64) -> bool {
        now < self.until
    }
}
