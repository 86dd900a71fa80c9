//! Why a message of the permit protocol is dropped.

use crate::envelope::EnvelopeError;

/// Why a message of the permit protocol was dropped; the ledger is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PermitError {
    /// It is not a valid message of this protocol.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// It is of another round, a repeated offer, from a sender that is not the round's allocator, or for an earlier process.
    #[error("it is of another round, process or allocator")]
    Round,
    /// The sender's number is outside the fleet, or this sender's own.
    #[error("the message does not come from another sender of the fleet")]
    UnknownSender,
}
