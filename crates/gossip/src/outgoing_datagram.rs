//! A datagram to be sent by the caller.

/// An encoded message and its recipient.
///
/// Delivery is best effort: every protocol of this crate tolerates datagrams that are lost, duplicated or late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Number of the receiving sender, an index into the configured peers.
    pub to: usize,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
