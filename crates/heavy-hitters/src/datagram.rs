//! Datagrams that the caller must send.

use crate::sender_id::SenderId;

/// A datagram that the caller must send to another sender of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The sender of the fleet that receives the datagram.
    pub to: SenderId,
    /// The encoded message, at most [`MAX_BODY_LEN`](crate::MAX_BODY_LEN) bytes.
    pub body: Vec<u8>,
}
