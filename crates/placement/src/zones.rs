//! The fleet's ordered list of zones, and sets of zones as bits.
//!
//! Invariant: a set of zones is always stored and sent with the hash of the list to which its bits refer.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet_key::{FleetKey, HashDomain};

/// Maximum number of zones in a list, because a [`ZoneSet`] has 32 bits.
pub const MAX_ZONES: usize = 32;

/// A set of zones: bit `i` is the zone with index `i` of the [`ZoneList`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneSet(pub u32);

impl ZoneSet {
    /// The empty set.
    pub const EMPTY: ZoneSet = ZoneSet(0);

    /// Whether the zone with this index is in the set.
    pub fn contains(self, zone: usize) -> bool {
        zone < MAX_ZONES && self.0 >> zone & 1 == 1
    }

    /// The zones that are in both sets.
    #[must_use]
    pub fn intersection(self, other: ZoneSet) -> ZoneSet {
        ZoneSet(self.0 & other.0)
    }

    /// Adds the zone with this index, which must be below [`MAX_ZONES`].
    pub(crate) fn insert(&mut self, zone: usize) {
        self.0 |= 1 << zone;
    }
}

/// Keyed hash of a [`ZoneList`]: the names and their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ZoneListHash(pub u64);

/// The ordered list of zones, which must be the same in every sender's settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ZoneList {
    names: Vec<String>,
}

/// Why a list of zones is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ZoneListError {
    /// The list is empty or longer than [`MAX_ZONES`].
    #[error("{0} zones in the list: the number must be between 1 and {MAX_ZONES}")]
    Count(usize),
    /// A name occurs more than once.
    #[error("zone {0:?} is in the list twice: each zone must be listed once")]
    Duplicate(String),
}

impl ZoneList {
    /// A list of 1 to [`MAX_ZONES`] different names.
    ///
    /// # Errors
    ///
    /// [`ZoneListError`] if the list is empty, too long or names a zone twice.
    pub fn new(names: &[&str]) -> Result<ZoneList, ZoneListError> {
        if names.is_empty() || names.len() > MAX_ZONES {
            return Err(ZoneListError::Count(names.len()));
        }
        let mut zones = ZoneList { names: Vec::with_capacity(names.len()) };
        for &name in names {
            if zones.index_of(name).is_some() {
                return Err(ZoneListError::Duplicate(name.to_owned()));
            }
            zones.names.push(name.to_owned());
        }
        Ok(zones)
    }

    /// Index of the zone with this name, or `None` if it is not in the list.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }

    /// Names of the zones, in order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Keyed hash of the names and their order; each name is preceded by its length.
    pub(crate) fn hash(&self, key: &FleetKey) -> ZoneListHash {
        let mut bytes = Vec::new();
        for name in &self.names {
            bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
            bytes.extend_from_slice(name.as_bytes());
        }
        ZoneListHash(key.hash(HashDomain::ZoneList, &bytes))
    }
}
