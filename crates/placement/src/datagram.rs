//! Datagrams that the caller must send.

use crate::sender_id::SenderId;

/// A datagram to be sent to another sender of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutgoingDatagram {
    /// The sender that is to receive it.
    pub to: SenderId,
    /// The encoded message, at most [`MAX_BODY_LEN`](crate::MAX_BODY_LEN) bytes.
    pub body: Vec<u8>,
}
