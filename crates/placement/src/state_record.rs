//! The record in the state folder: the rule sets that outlast a process.
//!
//! Invariant: a record is read whole and unchanged or not at all, and no rule set that it lacks is ever acknowledged.
use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet_key::{FleetKey, HashDomain, TenantId};
use crate::held_rule_sets::HeldRuleSets;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};

/// The first byte of a record.
const VERSION: u8 = 1;

/// Length of the keyed checksum at the end of a record, in bytes.
const CHECKSUM_LEN: usize = 8;

/// A sender's state as it is stored, for [`Placement::new`](crate::Placement::new).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateRecord {
    pub(crate) held: HeldRuleSets,
    /// Whether the sender voted: one that had no state and had not recovered does not by its record either.
    pub(crate) voting: bool,
    /// For each tenant whose zones do not include the own one: since when.
    pub(crate) excluded_since: BTreeMap<TenantId, UnixMillis>,
}

/// Why a record cannot be used; the sender then starts without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The record has a version that is not known.
    #[error("the record's version is {0}: {VERSION} is known")]
    UnknownVersion(u8),
    /// The record is cut short, changed, or was written under another fleet's key.
    #[error("the record is damaged, or was written under another fleet key")]
    Corrupt,
}

impl StateRecord {
    /// Version, content and keyed checksum.
    pub(crate) fn encode(&self, key: &FleetKey) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(key.hash(HashDomain::StateRecord, &bytes).to_le_bytes());
        bytes
    }

    /// Reads the bytes of a [`Snapshot`](crate::Snapshot).
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are not a whole and unchanged record under this key, or of another version.
    pub fn decode(bytes: &[u8], key: &FleetKey) -> Result<StateRecord, RecordError> {
        let (checked, checksum) = bytes.split_last_chunk::<CHECKSUM_LEN>().ok_or(RecordError::Corrupt)?;
        if key.hash(HashDomain::StateRecord, checked) != u64::from_le_bytes(*checksum) {
            return Err(RecordError::Corrupt);
        }
        let (&version, content) = checked.split_first().ok_or(RecordError::Corrupt)?;
        if version != VERSION {
            return Err(RecordError::UnknownVersion(version));
        }
        match postcard::take_from_bytes::<StateRecord>(content) {
            Ok((record, [])) if record.held.by_id.len() <= MAX_RULE_SETS => Ok(record),
            _ => Err(RecordError::Corrupt),
        }
    }

    /// The rule sets that the sender acknowledges by this record; none if it does not vote.
    pub fn acknowledged(&self) -> impl Iterator<Item = RuleSetId> {
        let acknowledged = self.held.by_id.iter().filter(|(_, held)| held.is_acknowledged() && self.voting);
        acknowledged.map(|(id, _)| *id)
    }

    /// Whether the sender's acknowledgements count; not so between a start without a record and the recovery.
    pub fn is_voting(&self) -> bool {
        self.voting
    }
}
