//! Keyed hashes under the fleet's secret: tenant ids, content hashes and pseudo-random draws.
//!
//! Invariant: names are never sent, only their 64-bit SipHash-2-4 under the fleet's secret key.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// A tenant, identified by the keyed hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub(crate) u64);

/// The 128-bit secret that all senders of a fleet share; its `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct FleetKey {
    low: u64,
    high: u64,
}

/// The first byte of each hash input; it separates hashes of different kinds.
#[derive(Clone, Copy)]
pub(crate) enum HashDomain {
    TenantName = 1,
    ZoneList = 2,
    RuleSetContent = 3,
    Draw = 4,
    StateRecord = 5,
}

impl FleetKey {
    /// Creates a key of 16 bytes, which must be the same at all senders.
    pub fn new(bytes: [u8; 16]) -> FleetKey {
        let word = u128::from_le_bytes(bytes);
        FleetKey { low: word as u64, high: (word >> 64) as u64 }
    }

    /// The id of the tenant with this name.
    pub fn tenant_id(&self, name: &str) -> TenantId {
        TenantId(self.hash(HashDomain::TenantName, name.as_bytes()))
    }

    /// Keyed hash of `bytes` within a domain.
    pub(crate) fn hash(&self, domain: HashDomain, bytes: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.low, self.high);
        hasher.write(&[domain as u8]);
        hasher.write(bytes);
        hasher.finish()
    }

    /// A pseudo-random number below `bound` (at least 1), the same at every sender for the same counter and salt.
    pub(crate) fn draw(&self, counter: u64, salt: DrawSalt, bound: usize) -> usize {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&counter.to_le_bytes());
        bytes[8..].copy_from_slice(&salt.0.to_le_bytes());
        (self.hash(HashDomain::Draw, &bytes) % bound.max(1) as u64) as usize
    }
}

/// Distinguishes draws with the same counter.
#[derive(Clone, Copy)]
pub(crate) struct DrawSalt(pub u64);

impl DrawSalt {
    /// For the draw of a round's first aggregator.
    pub const FIRST_AGGREGATOR: DrawSalt = DrawSalt(0);
    /// For the draw of a round's second aggregator.
    pub const SECOND_AGGREGATOR: DrawSalt = DrawSalt(1);
    /// For the draw of the sender whose request for parts is answered first.
    pub const FIRST_ANSWERED: DrawSalt = DrawSalt(1);

    /// For the draws of one sender, given its number in the fleet.
    pub fn of_sender(number: u16) -> DrawSalt {
        DrawSalt(2 + u64::from(number))
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}
