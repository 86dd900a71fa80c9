//! The fleet's key: names of tenants, contents of rule sets and draws, all as keyed hashes.
//!
//! Invariant: no name leaves a sender; what leaves is its 64 bit SipHash under a key that only the fleet has.
use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// A tenant's name as a keyed hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub(crate) u64);

/// The key that all senders of a fleet share, 128 bit.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(u64, u64);

/// What is hashed, so that a hash of one kind is never taken for one of another.
#[derive(Clone, Copy)]
pub(crate) enum Use {
    Tenant = 1,
    Halls = 2,
    Content = 3,
    Draw = 4,
    Record = 5,
}

impl Key {
    /// A key of these 16 bytes; all senders have to be given the same.
    pub fn new(bytes: [u8; 16]) -> Key {
        let word = u128::from_le_bytes(bytes);
        Key(word as u64, (word >> 64) as u64)
    }

    /// What a tenant of this name is called in rule sets and notes.
    pub fn tenant(&self, name: &str) -> TenantId {
        TenantId(self.hash(Use::Tenant, name.as_bytes()))
    }

    pub(crate) fn hash(&self, of: Use, bytes: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0, self.1);
        hasher.write(&[of as u8]);
        hasher.write(bytes);
        hasher.finish()
    }

    /// A draw below `bound` (at least 1), the same at every sender for the same round and salt.
    pub(crate) fn draw(&self, round: u64, salt: u64, bound: usize) -> usize {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&round.to_le_bytes());
        bytes[8..].copy_from_slice(&salt.to_le_bytes());
        (self.hash(Use::Draw, &bytes) % bound.max(1) as u64) as usize
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
