//! Starts a sender's placement, and reloads the operator's file.
//!
//! Invariant: a rule set is accepted completely or not at all, and a sender that is started without a record does not vote
//! before its recovery.

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

/// Why a file is rejected; the rule sets held before still apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReloadError {
    /// The file's revision is lower than a held one.
    #[error("file has revision {given}, but revision {held} is held: must be {lowest_valid} or higher")]
    RevisionTooLow {
        /// The revision of the file.
        given: u64,
        /// The highest revision held.
        held: u64,
        /// The lowest revision of a changed file that would be accepted.
        lowest_valid: u64,
    },
    /// The rules of this revision refer to another list of zones than the settings contain.
    #[error("rules of revision {0} refer to another list of zones: must be the list in the settings")]
    ZoneListMismatch(u64),
    /// The maximum number of rule sets is held, and the revisions above the committed one are still pending.
    #[error(
        "revision {0} not accepted: four rule sets are held; retry once a later one of them is committed"
    )]
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
    /// The record's rules refer to another list of zones than the settings contain.
    #[error(
        "stored rules refer to another list of zones than the settings: restore the list, or start without a record"
    )]
    RecordZoneListMismatch,
}

impl Placement {
    /// Starts a sender at `now` with the rules of its file and the decoded record.
    ///
    /// Earlier processes of the same sender must have stopped sending heartbeats, and `incarnation` must be greater than
    /// theirs. Without a record, the sender does not vote until it has recovered. There is no lease at the start.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the settings are invalid, or the file or the record refers to another list of zones.
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

    /// Applies the rules of a changed file at `now`: narrower zones immediately, wider zones once the revision is committed.
    ///
    /// # Errors
    ///
    /// [`ReloadError`] if the file is rejected; the held rule sets are then unchanged.
    pub fn reload(&mut self, now: UnixMillis, rules: RuleSet) -> Result<(), ReloadError> {
        let (given, held) = (rules.revision(), self.held.highest_revision());
        if rules.zone_list_hash != self.zone_list_hash {
            return Err(ReloadError::ZoneListMismatch(given));
        }
        if given < held {
            return Err(ReloadError::RevisionTooLow { given, held, lowest_valid: held.saturating_add(1) });
        }
        match self.accept_rule_set(now, rules, None) {
            Insertion::TooMany => Err(ReloadError::TooManyRuleSets(given)),
            Insertion::Added { .. } | Insertion::AlreadyHeld | Insertion::Superseded => Ok(()),
        }
    }

    /// Adds a rule set of this sender's file (`from` is `None`) or of another sender to the held ones, if there are not too
    /// many, and reports it as an event.
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
            Insertion::TooMany => self.record_event(PlacementEvent::TooManyRuleSets { id }),
            Insertion::AlreadyHeld | Insertion::Superseded => {}
        }
        insertion
    }

    fn without_rules(settings: Settings, incarnation: Incarnation, now: UnixMillis) -> Placement {
        Placement {
            zone_list_hash: settings.zones.hash(&settings.key),
            settings,
            incarnation,
            held: HeldRuleSets::default(),
            lease: Lease::new(false, now),
            lease_acquired_reported: false,
            last_heartbeat_round: Round::default(),
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
        if record.held.by_id.values().any(|held| held.rules.zone_list_hash != self.zone_list_hash) {
            return Err(StartError::RecordZoneListMismatch);
        }
        self.held = record.held;
        self.excluded_since = record.excluded_since;
        self.lease = Lease::new(record.voting, now);
        Ok(())
    }

    /// Loads the rules of the file like [`Placement::reload`], but a file with an outdated revision does not prevent the start.
    fn load_first_file(&mut self, now: UnixMillis, rules: RuleSet) -> Result<(), StartError> {
        match self.reload(now, rules) {
            Err(ReloadError::RevisionTooLow { given, held, .. }) => {
                self.record_event(PlacementEvent::FileOutdated { file_revision: given, held_revision: held });
                Ok(())
            }
            Err(error @ ReloadError::ZoneListMismatch(_)) => Err(error.into()),
            // `TooManyRuleSets` has been reported as an event by `accept_rule_set`.
            Err(ReloadError::TooManyRuleSets(_)) | Ok(()) => Ok(()),
        }
    }
}
