//! Why a received datagram is dropped.

use thiserror::Error;

/// Why a received datagram is dropped; the state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The sender is not in the fleet, is the reader itself, or is not an aggregator of this slice.
    #[error("from no other sender of the fleet")]
    UnknownSender,
    /// The bytes are longer than [`MAX_BODY_LEN`](crate::MAX_BODY_LEN).
    #[error("longer than a message's body may be")]
    TooLong,
    /// The bytes are not one message: damaged, truncated, with trailing bytes, or with inconsistent numbers.
    #[error("not a message that a sender encodes")]
    Malformed,
    /// The message is of a slice outside the reader's window.
    #[error("of a slice outside the window")]
    OutsideWindow,
    /// The digest counts more messages than a sender may accept.
    #[error("of more than a sender may accept")]
    OverLimit,
    /// The digest is of an earlier incarnation than a received one.
    #[error("of an earlier incarnation")]
    StaleIncarnation,
}
