//! The state of one sender, told of files, notes and the time.
//!
//! Invariant: nothing is stated that is not kept in the folder, and nothing renews the lease that names a rule set which
//! this sender does not hold.
use std::collections::BTreeMap;

use crate::change::Change;
use crate::halls::HallMask;
use crate::held::{Held, Tag};
use crate::key::TenantId;
use crate::lease::Lease;
use crate::quorum::Tallies;
use crate::record::Record;
use crate::settings::Settings;
use crate::spread::Spread;

/// Changes that wait for the host to read them; the oldest goes first.
const MOST_CHANGES: usize = 64;

/// A note to a sender.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Letter {
    /// The sender's number.
    pub to: u16,
    /// At most `LONGEST_BODY` bytes.
    pub body: Vec<u8>,
}

/// What is to be written to the state folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Given back to [`Placement::kept`] once the bytes are on disk.
    pub generation: u64,
    /// For [`Record::restore`].
    pub bytes: Vec<u8>,
}

/// One sender's part in the placement of tenants.
///
/// ```
/// use std::collections::BTreeSet;
/// use rudderspindle_placement::{Closed, Halls, Key, Open, Placement, Rules, Settings};
///
/// let (halls, key) = (Halls::new(&["hall-a", "hall-b"]).unwrap(), Key::new([7; 16]));
/// let tenants = BTreeSet::from(["narmada-sports"]);
/// let file = Rules::check(1, &[("narmada-sports", &["hall-a"])], &halls, &tenants, &key).unwrap();
/// let settings = Settings {
///     me: 0, senders: 1, adders: 1, halls, own_hall: 0, lease_ms: 3_000, clock_error_ms: 100,
///     longest_call_ms: 2_000, erase_within_ms: 5_000, announce_ms: 5_000,
///     key: key.clone(),
/// };
/// let mut placement = Placement::new(settings, Some(file), None, 1, 10_000).unwrap();
/// let tenant = key.tenant("narmada-sports");
/// assert_eq!(placement.open_halls(10_000, tenant), Open::Closed(Closed::NoLease));
///
/// // What is held goes to the folder first; then a fleet of one needs only its own word.
/// for now in [10_500, 10_900] {
///     if let Some(snapshot) = placement.to_keep(now) {
///         // std::fs::write(..., &snapshot.bytes)
///         placement.kept(snapshot.generation);
///     }
///     assert!(placement.notes_due(now).is_empty());
/// }
/// assert!(placement.may_take_on(10_900, tenant).is_ok());
/// assert_eq!(placement.lease_until(), 13_500);
/// assert!(placement.may_take_on(13_500, tenant).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    /// The hash of the settings' list of halls.
    pub(crate) halls: u64,
    pub(crate) held: Held,
    pub(crate) lease: Lease,
    /// Whether the host has been told that there is a lease.
    pub(crate) lease_told: bool,
    /// The last round stated.
    pub(crate) stated: u64,
    pub(crate) tallies: Tallies,
    pub(crate) spread: Spread,
    /// For each tenant whose rules have left the own hall: since when.
    pub(crate) outside_since: BTreeMap<TenantId, u64>,
    /// Counts changes of what is to be kept; and how far they are.
    pub(crate) generation: u64,
    pub(crate) kept: u64,
    pub(crate) changes: Vec<Change>,
}

impl Placement {
    /// What is held has changed: it is to be kept, and tenants may have left the own hall.
    pub(crate) fn changed(&mut self, now: u64) {
        self.generation += 1;
        let tenants = self.held.sets.values().flat_map(|entry| entry.rules.tenants.keys().copied());
        let own = self.settings.own_hall;
        let outside = tenants.filter(|&t| self.held.open(t).is_some_and(|mask| !mask.contains(own)));
        let since = outside.map(|t| (t, self.outside_since.get(&t).copied().unwrap_or(now)));
        self.outside_since = since.collect();
    }

    /// What must be on disk before this sender states it, if that is not so yet. Until [`Placement::kept`] is told, no
    /// statement leaves. To be asked before each [`Placement::notes_due`]. A set that has been handed on for `announce_ms`
    /// is stated from now (wall time, ms) on.
    pub fn to_keep(&mut self, now: u64) -> Option<Snapshot> {
        let announce = self.settings.announce_ms;
        let over = |since: u64| since.saturating_add(announce) <= now;
        let due = self.held.sets.iter().filter(|(_, entry)| entry.announced.is_some_and(over));
        let due: Vec<Tag> = due.map(|(tag, _)| *tag).collect();
        if due.into_iter().filter(|&tag| self.held.state(tag)).count() > 0 {
            self.changed(now);
        }
        (!self.is_kept()).then(|| self.snapshot())
    }

    /// The record as it stands, for the state folder.
    pub fn snapshot(&self) -> Snapshot {
        let (held, outside_since) = (self.held.clone(), self.outside_since.clone());
        let record = Record { held, full: self.lease.full, outside_since };
        Snapshot { generation: self.generation, bytes: record.encode(&self.settings.key) }
    }

    /// The record of this generation is on disk.
    pub fn kept(&mut self, generation: u64) {
        self.kept = self.kept.max(generation.min(self.generation));
    }

    pub(crate) fn is_kept(&self) -> bool {
        self.kept == self.generation
    }

    /// Until when this sender may act for ruled tenants, wall time in ms; 0 before the first word. Outbound looks at it
    /// last before a call's first byte.
    pub fn lease_until(&self) -> u64 {
        self.lease.until
    }

    pub(crate) fn leased(&self, now: u64) -> bool {
        self.lease.holds(now)
    }

    pub(crate) fn allowed(&self, tenant: TenantId) -> Option<HallMask> {
        self.held.open(tenant)
    }

    pub(crate) fn knows_nothing(&self) -> bool {
        self.held.sets.is_empty() && !self.lease.full
    }

    /// Since when the own hall is outside for a tenant, wall time in ms.
    pub(crate) fn outside_since(&self, tenant: TenantId) -> Option<u64> {
        self.outside_since.get(&tenant).copied()
    }

    /// The rule sets held, by revision.
    pub fn held(&self) -> impl Iterator<Item = Tag> {
        self.held.sets.keys().copied()
    }

    /// The highest revision known to be in force; 0 for none.
    pub fn in_force(&self) -> u64 {
        self.held.in_force
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What has happened since last asked, oldest first; of more than 64 the youngest.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    pub(crate) fn tell(&mut self, change: Change) {
        if self.changes.len() == MOST_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(change);
    }
}
