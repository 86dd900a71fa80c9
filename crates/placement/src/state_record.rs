//! The record in the state folder, from which a process restores its rule sets.
//!
//! Invariant: a record is read completely and unchanged or not at all, and a sender acknowledges only rule sets in its record.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet_key::{FleetKey, HashDomain, TenantId};
use crate::held_rule_sets::HeldRuleSets;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};

/// Version of the encoding; the first byte of a record.
const VERSION: u8 = 1;

/// Length of the keyed checksum at the end of a record, in bytes.
const CHECKSUM_LEN: usize = 8;

/// The stored state of a sender, for [`Placement::new`](crate::Placement::new).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateRecord {
    pub(crate) held: HeldRuleSets,
    /// Whether the sender votes; false if it was started without a record and had not recovered.
    pub(crate) voting: bool,
    /// The tenants whose zones do not include this sender's zone, and since when.
    pub(crate) excluded_since: BTreeMap<TenantId, UnixMillis>,
}

/// Why a record cannot be used; the sender then starts without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The version of the record is unknown.
    #[error("record version = {0}: must be {VERSION}")]
    UnknownVersion(u8),
    /// The record is truncated or damaged, or was written under another fleet key.
    #[error("record is truncated or damaged, or was written under another fleet key")]
    Corrupt,
}

impl StateRecord {
    /// Encodes the version, the content and a keyed checksum.
    pub(crate) fn encode(&self, key: &FleetKey) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(key.hash(HashDomain::StateRecord, &bytes).to_le_bytes());
        bytes
    }

    /// Decodes the bytes of a [`Snapshot`](crate::Snapshot).
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are not a valid record under this key, or have another version.
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

    /// The rule sets that the sender acknowledges; none if it does not vote.
    pub fn acknowledged(&self) -> impl Iterator<Item = RuleSetId> {
        let acknowledged = self.held.by_id.iter().filter(|(_, held)| held.is_acknowledged() && self.voting);
        acknowledged.map(|(id, _)| *id)
    }

    /// Whether the sender's acknowledgements count; false from a start without a record until the recovery.
    pub fn is_voting(&self) -> bool {
        self.voting
    }
}
