//! The error of rejected datagrams.

use thiserror::Error;

/// Why a received datagram is dropped; the state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The sender is not in the fleet or is the recipient itself; or a summary is not from an aggregator of its
    /// slice, or a digest was sent to a recipient that is not an aggregator.
    #[error(
        "datagram rejected: it is not from another sender of the fleet, or its aggregator is not selected for the slice"
    )]
    UnknownSender,
    /// The bytes are longer than [`MAX_BODY_LEN`](crate::MAX_BODY_LEN).
    #[error("datagram rejected: its body exceeds the maximum length of a message")]
    TooLong,
    /// The bytes are not exactly one message: they are damaged, truncated, have trailing bytes or inconsistent
    /// numbers.
    #[error("datagram rejected: its body is not exactly one valid message")]
    Malformed,
    /// The slice of the message is outside the recipient's window.
    #[error("datagram rejected: its slice is outside the current window")]
    OutsideWindow,
    /// The digest counts more messages than one sender may accept within a slice.
    #[error(
        "datagram rejected: the total of its digest exceeds the maximum number of messages of one sender in a slice"
    )]
    OverLimit,
    /// A digest of the same slice from a later incarnation of the sender was received before.
    #[error(
        "datagram rejected: a later incarnation of its sender has already published a digest of the slice"
    )]
    StaleIncarnation,
}
