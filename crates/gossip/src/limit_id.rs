//! Identifies a limit in the messages between senders.

/// Identifier of a limit, the same at every sender. The limit is that of a destination, or of an endpoint if each endpoint
/// has its own.
///
/// The identifier is a hash of 24 bits. If two limits have the same identifier by chance (in one of 30 fleets with a
/// thousand limits), their loads are added up and both receive less capacity than they have.
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
