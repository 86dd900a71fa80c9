//! Keys of streams and of idempotency, as they travel.
//!
//! Invariant: no name leaves a sender; what does is a hash under the fleet's key.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Bytes of a key that travel. Of 10,000 streams any two share a key with a chance of 2 in 10 million
/// (`n * n / 2 / 2^48`), of 100,000 idempotency keys 2 in 100,000; two bytes more would cost a sixth of the entries.
const BYTES: usize = 6;

/// A stream or an idempotency key as a keyed hash of 48 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; BYTES]);

impl Key {
    /// The key with these lowest 48 bits.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        let [a, b, c, d, e, f, ..] = bits.to_le_bytes();
        Self([a, b, c, d, e, f])
    }

    /// Where it stands in an order that is drawn anew for each salt, the same at every sender.
    #[must_use]
    pub(crate) fn rank(self, salt: u64) -> u64 {
        let [a, b, c, d, e, f] = self.0;
        mix(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]) ^ mix(salt))
    }
}

/// The finisher of SplitMix64: each bit of what is given changes half of those that come out.
pub(crate) fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Turns names into keys under a key that all senders of the fleet have and nobody else.
///
/// ```
/// use rudderspindle_heavy_hitters::Names;
/// let names = Names::new([7; 16]);
/// assert_eq!(names.stream("narmada", "gate-1"), names.stream("narmada", "gate-1"));
/// assert_ne!(names.stream("narmada", "gate-1"), names.stream("narmadag", "ate-1"));
/// ```
#[derive(Clone)]
pub struct Names([u8; 16]);

impl std::fmt::Debug for Names {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The fleet's key is a secret.
        f.write_str("Names")
    }
}

impl Names {
    /// Names under this key of the fleet.
    #[must_use]
    pub fn new(fleet: [u8; 16]) -> Self {
        Self(fleet)
    }

    /// The key of what a tenant sends to a partner.
    #[must_use]
    pub fn stream(&self, tenant: &str, partner: &str) -> Key {
        self.key(b's', tenant, partner)
    }

    /// The key of a tenant's idempotency key.
    #[must_use]
    pub fn idempotency(&self, tenant: &str, key: &str) -> Key {
        self.key(b'i', tenant, key)
    }

    fn key(&self, kind: u8, tenant: &str, name: &str) -> Key {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&[kind]);
        // With its length, or a letter could change sides.
        hasher.write(&(tenant.len() as u64).to_le_bytes());
        hasher.write(tenant.as_bytes());
        hasher.write(name.as_bytes());
        Key::new(hasher.finish())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_differs_by_kind_by_where_the_names_part_and_by_the_fleet() {
        let names = Names::new([1; 16]);
        assert_ne!(names.stream("a", "b"), names.idempotency("a", "b"));
        assert_ne!(names.stream("ab", "c"), names.stream("a", "bc"));
        assert_ne!(names.stream("a", "b"), Names::new([2; 16]).stream("a", "b"));
        assert_eq!(format!("{names:?}"), "Names");
    }
}
