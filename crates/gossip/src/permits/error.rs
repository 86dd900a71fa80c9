//! Errors of the permit protocol.

use crate::envelope::EnvelopeError;

/// Why a message of the permit protocol was dropped. Its content has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PermitError {
    /// The datagram is not a valid message of this protocol.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The message is an offer of a round that is not open, or a repeated offer; or it is a grant that was not sent by the
    /// round's allocator, or that was sent to another process.
    #[error(
        "the message is a late, early or repeated offer, or a grant of another round, allocator or process"
    )]
    Unexpected,
    /// The number of the message's sender is outside the fleet, or this sender's own.
    #[error("the number of the message's sender is outside the fleet, or the receiving sender's own")]
    UnknownSender,
}
