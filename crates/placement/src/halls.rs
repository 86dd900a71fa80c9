//! The fleet's halls, in the order of the settings, and sets of them as bits.
//!
//! Invariant: a set of halls is read only beside the hash of the list that its bits count in.
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::{Key, Use};

/// Most halls in a list: a set of them is 32 bits.
pub const MOST_HALLS: usize = 32;

/// A set of halls: bit `i` is the hall with number `i` of [`Halls`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HallMask(pub u32);

impl HallMask {
    /// Whether the hall with this number (from 0) is in the set.
    pub fn contains(self, hall: usize) -> bool {
        hall < MOST_HALLS && self.0 >> hall & 1 == 1
    }

    /// Those in both.
    pub fn and(self, other: HallMask) -> HallMask {
        HallMask(self.0 & other.0)
    }
}

/// The list of halls, as every sender's settings have it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Halls {
    names: Vec<String>,
}

/// Why a list of halls is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HallsError {
    /// There must be 1 to [`MOST_HALLS`].
    #[error("{0} halls are named: 1 to {MOST_HALLS} are right")]
    Number(usize),
    /// Each only once.
    #[error("hall {0:?} is named twice: once is right")]
    Twice(String),
}

impl Halls {
    /// A list of 1 to [`MOST_HALLS`] different names.
    pub fn new(names: &[&str]) -> Result<Halls, HallsError> {
        if names.is_empty() || names.len() > MOST_HALLS {
            return Err(HallsError::Number(names.len()));
        }
        if let Some((_, name)) = names.iter().enumerate().find(|(i, name)| names[..*i].contains(name)) {
            return Err(HallsError::Twice((*name).to_owned()));
        }
        Ok(Halls { names: names.iter().map(|&name| name.to_owned()).collect() })
    }

    /// The number of the hall with this name.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Their names, in order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// What tells this list from another: names and their order. The length goes before each name.
    pub(crate) fn hash(&self, key: &Key) -> u64 {
        let mut bytes = Vec::new();
        for name in &self.names {
            bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
            bytes.extend_from_slice(name.as_bytes());
        }
        key.hash(Use::Halls, &bytes)
    }
}
