//! Errors of the fleet view.

use super::MAX_SENDERS;
use crate::envelope::{EnvelopeError, Kind};
use crate::membership::IncarnationTooFarAhead;

/// Why a datagram was dropped, or a fleet view could not be created. The view is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetViewError {
    /// The datagram has no valid envelope or body.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The datagram belongs to another protocol.
    #[error("{0:?} is neither a report nor a summary")]
    UnexpectedKind(Kind),
    /// The datagram is of a past or future round.
    #[error("it is of another round")]
    WrongRound,
    /// The sender's number is this sender's own, or beyond the fleet's size.
    #[error("it comes from no other sender of the fleet")]
    UnknownSender,
    /// The datagram is of a process that was replaced.
    #[error("it comes from an older process under that number")]
    StaleIncarnation,
    /// The datagram's incarnation is impossible.
    #[error(transparent)]
    IncarnationTooFarAhead(#[from] IncarnationTooFarAhead),
    /// The fleet has more senders than a datagram has bits for.
    #[error("a fleet of {0} senders; at most {MAX_SENDERS} are supported")]
    TooManySenders(usize),
}
