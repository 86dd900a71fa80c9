//! Errors of the fleet view.

use super::MAX_SENDERS;
use crate::envelope::{EnvelopeError, Kind};
use crate::membership::IncarnationTooFarAhead;

/// Reason why a datagram was dropped, which leaves the view unchanged, or why a fleet view could not be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetViewError {
    /// The datagram has no valid envelope or body.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The datagram belongs to another protocol.
    #[error("datagram kind {0:?}: must be Report or Summary")]
    UnexpectedKind(Kind),
    /// By this sender's clock the round of the report or summary is over, or too far in the past or in the future.
    #[error("round of the report or summary is not among the rounds accepted now")]
    WrongRound,
    /// The sender number of a datagram is this sender's own, or a sender number is not below the fleet's size.
    #[error("sender number is this sender's own or not below the number of senders in the fleet")]
    UnknownSender,
    /// The datagram was sent by a process that has been replaced under its sender number.
    #[error("incarnation is older than the newest one received under the same sender number")]
    StaleIncarnation,
    /// The incarnation in the datagram is too far ahead of this sender's clock.
    #[error(transparent)]
    IncarnationTooFarAhead(#[from] IncarnationTooFarAhead),
    /// The fleet has more than [`MAX_SENDERS`] senders, which is the number of bits for senders in a datagram.
    #[error("fleet of {0} senders: must have at most {MAX_SENDERS}")]
    TooManySenders(usize),
}
