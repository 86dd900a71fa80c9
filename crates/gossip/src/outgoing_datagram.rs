//! A datagram that a protocol of this crate asks its host to send.

/// An encoded message and the sender that it is addressed to.
///
/// Delivery is best effort: every protocol here tolerates a datagram that is lost, duplicated or late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Number of the receiving sender, an index into the configured peers.
    pub to: usize,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
