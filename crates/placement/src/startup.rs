//! The start of a sender's placement, and reloading the operator's file.
//!
//! Invariant: a rule set is accepted whole or not at all, and a sender that starts without a record does not vote before
//! its recovery.
use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use thiserror::Error;

use crate::event::PlacementEvent;
use crate::heartbeat_collector::HeartbeatCollector;
use crate::held_rule_sets::{HeldRuleSets, Insertion};
use crate::lease::Lease;
use crate::placement::Placement;
use crate::round::Round;
use crate::rule_set::RuleSet;
use crate::rule_set_downloads::RuleSetDownloads;
use crate::rule_set_uploads::RuleSetUploads;
use crate::sender_id::{Incarnation, SenderId};
use crate::settings::{Settings, SettingsError};
use crate::state_record::StateRecord;

/// Why a reloaded file is refused; what applied before still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReloadError {
    /// The file's revision is lower than one that is held.
    #[error(
        "the file's revision {given} is older than revision {held}, which is held: {lowest_valid} or higher is right"
    )]
    RevisionTooLow {
        /// The revision of the file.
        given: u64,
        /// The highest revision held.
        held: u64,
        /// The lowest revision that would be accepted.
        lowest_valid: u64,
    },
    /// The rules of this revision refer to another list of zones than that of the settings.
    #[error(
        "the rules of revision {0} refer to another list of zones than the settings have: use the settings' list"
    )]
    ZoneListMismatch(u64),
    /// As many rule sets as possible are held, and none of the later ones is committed.
    #[error("revision {0} must wait: four rule sets are held, and the later ones are not committed yet")]
    TooManyRuleSets(u64),
}

/// Why a placement cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The file cannot be used.
    #[error(transparent)]
    File(#[from] ReloadError),
    /// The record's rules refer to another list of zones than that of the settings.
    #[error(
        "the stored rules refer to another list of zones: restore the list, or start with an empty record"
    )]
    RecordZoneListMismatch,
}

impl Placement {
    /// Starts a sender at `now` with the rules of its file and the record that [`StateRecord::decode`] read.
    ///
    /// Any earlier process of the same sender must have sent its last heartbeat. Without a record the sender does not vote
    /// until it has recovered. `incarnation` must be greater than that of any earlier process. There is no lease at the
    /// start.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the settings are invalid, or the file or the record refers to other zones.
    pub fn new(
        settings: Settings,
        file: Option<RuleSet>,
        record: Option<StateRecord>,
        incarnation: Incarnation,
        now: UnixMillis,
    ) -> Result<Placement, StartError> {
        settings.validate()?;
        let mut placement = Placement::without_rules(settings, incarnation, now);
        if let Some(record) = record {
            placement.restore(record, now)?;
        }
        if let Some(rules) = file {
            placement.load_first_file(now, rules)?;
        }
        Ok(placement)
    }

    /// Reloads the rules of the file at `now`; what they narrow applies at once, what they widen once they are committed.
    ///
    /// # Errors
    ///
    /// [`ReloadError`] says why the file is refused; nothing has changed then.
    pub fn reload(&mut self, now: UnixMillis, rules: RuleSet) -> Result<(), ReloadError> {
        let (given, held) = (rules.revision(), self.held.highest_revision());
        if rules.zone_list != self.zone_list {
            return Err(ReloadError::ZoneListMismatch(given));
        }
        if given < held {
            return Err(ReloadError::RevisionTooLow { given, held, lowest_valid: held.saturating_add(1) });
        }
        match self.accept_rule_set(now, rules, None) {
            Insertion::NoRoom => Err(ReloadError::TooManyRuleSets(given)),
            Insertion::Added { .. } | Insertion::AlreadyHeld | Insertion::Superseded => Ok(()),
        }
    }

    /// Holds a rule set of the own file or of another sender from now on, if there is room.
    pub(crate) fn accept_rule_set(
        &mut self,
        now: UnixMillis,
        rules: RuleSet,
        from: Option<SenderId>,
    ) -> Insertion {
        let id = rules.id(&self.settings.key);
        let insertion = self.held.insert(id, rules, now);
        match insertion {
            Insertion::Added { conflicting } => {
                self.record_event(PlacementEvent::RuleSetAdded { id, from });
                if conflicting {
                    self.record_event(PlacementEvent::ConflictingRevision { id });
                }
                self.mark_changed(now);
            }
            Insertion::NoRoom => self.record_event(PlacementEvent::TooManyRuleSets { id }),
            Insertion::AlreadyHeld | Insertion::Superseded => {}
        }
        insertion
    }

    fn without_rules(settings: Settings, incarnation: Incarnation, now: UnixMillis) -> Placement {
        Placement {
            zone_list: settings.zones.hash(&settings.key),
            settings,
            incarnation,
            held: HeldRuleSets::default(),
            lease: Lease::new(false, now),
            lease_announced: false,
            last_heartbeat: Round::default(),
            collector: HeartbeatCollector::default(),
            downloads: RuleSetDownloads::default(),
            uploads: RuleSetUploads::default(),
            excluded_since: BTreeMap::new(),
            generation: 0,
            persisted_generation: 0,
            events: Vec::new(),
        }
    }

    fn restore(&mut self, record: StateRecord, now: UnixMillis) -> Result<(), StartError> {
        if record.held.by_id.values().any(|held| held.rules.zone_list != self.zone_list) {
            return Err(StartError::RecordZoneListMismatch);
        }
        self.held = record.held;
        self.excluded_since = record.excluded_since;
        self.lease = Lease::new(record.voting, now);
        Ok(())
    }

    /// As [`Placement::reload`], but a file that other senders are ahead of does not prevent the start.
    fn load_first_file(&mut self, now: UnixMillis, rules: RuleSet) -> Result<(), StartError> {
        match self.reload(now, rules) {
            Err(ReloadError::RevisionTooLow { given, held, .. }) => {
                self.record_event(PlacementEvent::FileOutdated { file_revision: given, held_revision: held });
                Ok(())
            }
            Err(error @ ReloadError::ZoneListMismatch(_)) => Err(error.into()),
            // The event `TooManyRuleSets` reports the former.
            Err(ReloadError::TooManyRuleSets(_)) | Ok(()) => Ok(()),
        }
    }
}
