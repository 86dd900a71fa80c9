//! A sender's start, and its file read again.
//!
//! Invariant: rules are taken in whole or not at all, and a start without a record counts for nothing before its recovery.
use thiserror::Error;

use crate::change::Change;
use crate::held::Taken;
use crate::lease::Lease;
use crate::quorum::Tallies;
use crate::record::Record;
use crate::rules::Rules;
use crate::settings::{Settings, SettingsError};
use crate::spread::Spread;
use crate::state::Placement;

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

impl Placement {
    /// A sender that starts at `now` (wall time, ms) with the rules of its file and what [`Record::restore`] read, after
    /// any process of the same number has stated for the last time. Without
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
        if held.sets.values().any(|entry| entry.rules.halls != halls) {
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
        let taken = self.held.take(tag, rules, now);
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
}
