//! Why a message of the permit protocol is dropped.

use crate::envelope::EnvelopeError;

/// Why a message of the permit protocol was dropped; the ledger is unchanged then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PermitError {
    /// It is not a valid message of this protocol.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// It belongs to another round, is a repeated offer, comes from a sender that was not asked to allocate, or answers an
    /// earlier process.
    #[error("it is of another round, process or dealer")]
    Round,
    /// The sender's number is outside the fleet, or this sender's own.
    #[error("the message does not come from another sender of the fleet")]
    UnknownSender,
}
