//! Keys of streams and of idempotency keys: keyed hashes of their names.
//!
//! Invariant: names are never sent, only their hashes under the fleet's key.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use crate::mix::mix;

/// Length of an encoded key, in bytes. The probability of a collision among `n` keys is about `n * n / 2 / 2^48`.
pub(crate) const KEY_LEN: usize = 6;

/// A stream or an idempotency key, represented by a keyed hash of 48 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; KEY_LEN]);

impl Key {
    /// Creates the key that consists of the lowest 48 bits of `bits`.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        let [first, second, third, fourth, fifth, sixth, ..] = bits.to_le_bytes();
        Self([first, second, third, fourth, fifth, sixth])
    }

    /// Sort key of a pseudorandom order that depends on the salt and is the same at all senders.
    #[must_use]
    pub(crate) fn rank(self, salt: u64) -> u64 {
        let mut bytes = [0; 8];
        bytes[..KEY_LEN].copy_from_slice(&self.0);
        mix(u64::from_le_bytes(bytes) ^ mix(salt))
    }
}

/// Hashes names to keys under the fleet's secret, which must be the same at all senders.
///
/// ```
/// use rudderspindle_heavy_hitters::KeyHasher;
/// let hasher = KeyHasher::new([7; 16]);
/// assert_eq!(hasher.stream_key("narmada", "gate-1"), hasher.stream_key("narmada", "gate-1"));
/// assert_ne!(hasher.stream_key("narmada", "gate-1"), hasher.stream_key("narmadag", "ate-1"));
/// ```
#[derive(Clone)]
pub struct KeyHasher([u8; 16]);

impl fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret must not appear in logs.
        formatter.write_str("KeyHasher")
    }
}

impl KeyHasher {
    /// Creates a hasher with the secret of the fleet.
    #[must_use]
    pub fn new(secret: [u8; 16]) -> Self {
        Self(secret)
    }

    /// The key of a stream: the messages of a tenant to a receiver.
    #[must_use]
    pub fn stream_key(&self, tenant: &str, receiver: &str) -> Key {
        self.hash(b's', tenant, receiver)
    }

    /// The key of an idempotency key, which is unique only within its tenant.
    #[must_use]
    pub fn idempotency_key(&self, tenant: &str, idempotency_key: &str) -> Key {
        self.hash(b'i', tenant, idempotency_key)
    }

    fn hash(&self, kind: u8, tenant: &str, name: &str) -> Key {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&[kind]);
        // The length marks where the tenant's name ends, so that no two pairs of names have the same input.
        hasher.write(&(tenant.len() as u64).to_le_bytes());
        hasher.write(tenant.as_bytes());
        hasher.write(name.as_bytes());
        Key::new(hasher.finish())
    }
}
