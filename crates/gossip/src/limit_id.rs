//! Identifies a limit in the messages between senders.

/// Identifier of a limit; all senders compute the same one. A limit belongs to a destination, or to a single endpoint if
/// each endpoint of the destination has its own limit.
///
/// The identifier is a hash of 24 bits. In a fleet with a thousand limits, the probability that any two share an identifier
/// is about 1 in 30. The loads at the two limits are then added up, and the senders use less of each limit than it allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitId(pub(crate) u32);

/// The bits of the hash that form an identifier: three bytes in a message.
const MASK: u32 = 0x00ff_ffff;

impl LimitId {
    /// The identifier of a destination's limit, or of one receiver's limit if each receiver has its own.
    pub fn of(destination: u16, receiver: Option<&str>) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.unwrap_or_default().as_bytes());
        Self(hash.finalize() & MASK)
    }
}
