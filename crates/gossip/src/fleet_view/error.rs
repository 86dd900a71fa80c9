//! Why a datagram does not count, or views cannot be.

use super::MAX_SENDERS;
use crate::envelope::{EnvelopeError, Kind};
use crate::membership::IncarnationTooFarAhead;

/// Why a datagram does not count; nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetViewError {
    /// It is no note of a further kind.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// It is one of a kind that is for others.
    #[error("{0:?} is neither a report nor a view")]
    Kind(Kind),
    /// Of a round that is over, or of one to come.
    #[error("it is of another round")]
    Round,
    /// From nobody of the tier, or from ourselves.
    #[error("it comes from no other sender of the tier")]
    UnknownSender,
    /// Of a process that was replaced.
    #[error("it comes from an older process under that number")]
    Older,
    /// Of an incarnation that cannot be.
    #[error(transparent)]
    IncarnationTooFarAhead(#[from] IncarnationTooFarAhead),
    /// The tier has more senders than a note has bits for.
    #[error("a tier of {0} senders; notes have room for {MAX_SENDERS}")]
    TooMany(usize),
}
