//! Why a received datagram was dropped.

use rudderspindle_gossip::{FleetViewError, GossipError, PermitError};

/// The error of the protocol that rejected a datagram.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// A permit offer or grant was rejected.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// A report or summary of the fleet view was rejected.
    #[error(transparent)]
    FleetView(#[from] FleetViewError),
    /// A datagram of the demand exchange, of an unknown kind or of a kind that is not in use was rejected.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}
