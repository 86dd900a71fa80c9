//! The state of one sender, told of files, notes and the time.
//!
//! Invariant: nothing is stated that is not kept in the folder, and nothing renews the lease that names a rule set which
//! this sender does not hold.
use std::collections::BTreeMap;

use thiserror::Error;

use crate::change::Change;
use crate::halls::HallMask;
use crate::held::{Held, Tag, Taken};
use crate::key::TenantId;
use crate::lease::Lease;
use crate::quorum::Tallies;
use crate::record::Record;
use crate::rules::Rules;
use crate::settings::{Settings, SettingsError};
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

/// Why a file that was read again is refused; what held before holds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReloadError {
    /// Revisions only grow.
    #[error(
        "the file's revision {given} is older than revision {held}, which is held: {next} or higher is right"
    )]
    GoesBack {
        /// The file's.
        given: u64,
        /// The highest held.
        held: u64,
        /// The lowest that would do.
        next: u64,
    },
    /// It counts in other halls than the settings.
    #[error(
        "the rules of revision {0} count in another list of halls than the settings have: use the settings' list"
    )]
    OtherHalls(u64),
    /// As many sets as there may be are held, and none of the younger is in force.
    #[error("revision {0} must wait: four rule sets are held, and the younger are not in force yet")]
    NoRoom(u64),
}

/// Why a sender cannot be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// Of the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Of the file.
    #[error(transparent)]
    File(#[from] ReloadError),
    /// The folder's rules count in another list of halls than the settings.
    #[error("the kept rules count in another list of halls: restore the list, or start with an empty record")]
    RecordHalls,
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
///     longest_call_ms: 2_000, erase_within_ms: 5_000, key: key.clone(),
/// };
/// let mut placement = Placement::new(settings, Some(file), None, 1, 10_000).unwrap();
/// let tenant = key.tenant("narmada-sports");
/// assert_eq!(placement.open_halls(10_000, tenant), Open::Closed(Closed::NoLease));
///
/// // What is held goes to the folder first; then a fleet of one needs only its own word.
/// for now in [10_500, 10_900] {
///     if let Some(snapshot) = placement.to_keep() {
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
    outside_since: BTreeMap<TenantId, u64>,
    /// Counts changes of what is to be kept; and how far they are.
    generation: u64,
    kept: u64,
    changes: Vec<Change>,
}

impl Placement {
    /// A sender that starts at `now` (wall time, ms) with the rules of its file and what [`Record::restore`] read. Without
    /// a record it counts for nothing until it has heard enough. An `incarnation` only grows. No lease at the start.
    pub fn new(
        settings: Settings,
        file: Option<Rules>,
        record: Option<Record>,
        incarnation: u64,
        now: u64,
    ) -> Result<Placement, StartError> {
        settings.check()?;
        let halls = settings.halls.hash(&settings.key);
        let full = record.as_ref().is_some_and(|record| record.full);
        let (held, outside_since) = record.map_or_else(Default::default, |r| (r.held, r.outside_since));
        if held.sets.values().any(|rules| rules.halls != halls) {
            return Err(StartError::RecordHalls);
        }
        let mut placement = Placement {
            settings,
            incarnation,
            halls,
            held,
            lease: Lease::new(full, now),
            lease_told: false,
            stated: 0,
            tallies: Tallies::default(),
            spread: Spread::default(),
            outside_since,
            generation: 0,
            kept: 0,
            changes: Vec::new(),
        };
        match file.map(|rules| placement.reload(now, rules)) {
            Some(Err(ReloadError::GoesBack { given, held, .. })) => {
                placement.tell(Change::FileIsOld { file: given, held });
            }
            Some(Err(error @ ReloadError::OtherHalls(_))) => return Err(error.into()),
            // Told as a change; a start must not fail on what the other senders are at.
            Some(Err(ReloadError::NoRoom(_)) | Ok(())) | None => {}
        }
        Ok(placement)
    }

    /// The rules of the file, read again at `now`. What they narrow holds at once, what they widen once in force.
    pub fn reload(&mut self, now: u64, rules: Rules) -> Result<(), ReloadError> {
        let (given, held) = (rules.revision(), self.held.highest());
        if rules.halls != self.halls {
            return Err(ReloadError::OtherHalls(given));
        }
        if given < held {
            return Err(ReloadError::GoesBack { given, held, next: held.saturating_add(1) });
        }
        match self.take(now, rules, None) {
            Taken::NoRoom => Err(ReloadError::NoRoom(given)),
            Taken::New { .. } | Taken::Known | Taken::Superseded => Ok(()),
        }
    }

    pub(crate) fn take(&mut self, now: u64, rules: Rules, from: Option<u16>) -> Taken {
        let tag = rules.tag(&self.settings.key);
        let taken = self.held.take(tag, rules);
        match taken {
            Taken::New { conflict } => {
                self.tell(Change::Took { tag, from });
                if conflict {
                    self.tell(Change::Conflict { tag });
                }
                self.changed(now);
            }
            Taken::NoRoom => self.tell(Change::NoRoom { tag }),
            Taken::Known | Taken::Superseded => {}
        }
        taken
    }

    /// What is held has changed: it is to be kept, and tenants may have left the own hall.
    pub(crate) fn changed(&mut self, now: u64) {
        self.generation += 1;
        let tenants = self.held.sets.values().flat_map(|rules| rules.tenants.keys().copied());
        let own = self.settings.own_hall;
        let outside = tenants.filter(|&t| self.held.open(t).is_some_and(|mask| !mask.contains(own)));
        let since = outside.map(|t| (t, self.outside_since.get(&t).copied().unwrap_or(now)));
        self.outside_since = since.collect();
    }

    /// What must be on disk before this sender states it, if that is not so yet. Until [`Placement::kept`] is told, no
    /// statement leaves.
    pub fn to_keep(&self) -> Option<Snapshot> {
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
