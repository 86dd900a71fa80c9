//! What outlasts a process: the sets held, as one record for the state folder.
//!
//! Invariant: a record is read whole and unchanged or not at all, and nothing that it does not hold is ever stated.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::held::{Held, MOST_HELD, Tag};
use crate::key::{Key, TenantId, Use};

/// The record's first byte.
const VERSION: u8 = 1;

/// Bytes of the check at its end.
const CHECK: usize = 8;

/// A record that was read, for `Placement::new`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub(crate) held: Held,
    /// Whether the sender counted: one that had no state and had not recovered does not by its record either.
    pub(crate) full: bool,
    /// Since when the own hall is outside for a tenant, wall time in ms.
    pub(crate) outside_since: BTreeMap<TenantId, u64>,
}

/// Why a record cannot be used. The sender then starts without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Another version.
    #[error("the record's version is {0}: {VERSION} is known")]
    Version(u8),
    /// Cut short, changed, or of another fleet's key.
    #[error("the record is damaged, or was written under another fleet key")]
    Check,
}

impl Record {
    pub(crate) fn encode(&self, key: &Key) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(key.hash(Use::Record, &bytes).to_le_bytes());
        bytes
    }

    /// The sets that its sender states as held.
    pub fn stated(&self) -> impl Iterator<Item = Tag> {
        let stated = self.held.sets.iter().filter(|(_, entry)| entry.announced.is_none() && self.full);
        stated.map(|(tag, _)| *tag)
    }

    /// Whether its sender counts among those that hold the sets: not so between a start without a record and recovery.
    pub fn counts(&self) -> bool {
        self.full
    }

    /// Reads what `Placement::snapshot` gave.
    pub fn restore(bytes: &[u8], key: &Key) -> Result<Record, RecordError> {
        let Some((body, check)) = bytes.split_last_chunk::<CHECK>() else { return Err(RecordError::Check) };
        if key.hash(Use::Record, body) != u64::from_le_bytes(*check) {
            return Err(RecordError::Check);
        }
        let Some((&version, body)) = body.split_first() else { return Err(RecordError::Check) };
        if version != VERSION {
            return Err(RecordError::Version(version));
        }
        match postcard::take_from_bytes::<Record>(body) {
            Ok((record, [])) if record.held.sets.len() <= MOST_HELD => Ok(record),
            _ => Err(RecordError::Check),
        }
    }
}
