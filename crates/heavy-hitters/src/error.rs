//! Why a received datagram is dropped.

use thiserror::Error;

/// Why a received datagram is dropped; nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The sender is not of the fleet, is the reader itself, or has no part in this slice's aggregation.
    #[error("from no other sender of the fleet")]
    UnknownSender,
    /// The bytes are longer than [`MAX_BODY_LEN`](crate::MAX_BODY_LEN).
    #[error("longer than a message's body may be")]
    TooLong,
    /// The bytes are not one message: damaged, cut, with bytes left over, or with figures that contradict one another.
    #[error("not a message that a sender encodes")]
    Malformed,
    /// The message is of a slice outside the reader's window.
    #[error("of a slice outside the window")]
    OutsideWindow,
    /// The digest counts more messages than a sender may accept.
    #[error("of more than a sender may accept")]
    OverLimit,
    /// The digest is of an earlier incarnation than one that was received.
    #[error("of an earlier incarnation")]
    StaleIncarnation,
}
