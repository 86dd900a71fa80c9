//! Why a received datagram was dropped.

use rudderspindle_gossip::{FleetViewError, GossipError, PermitError};

/// The error of the protocol that rejected the datagram.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// A permit offer or grant.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// A report or summary of the fleet view.
    #[error(transparent)]
    FleetView(#[from] FleetViewError),
    /// A report or sums of the demand exchange, or a datagram of an unknown kind.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}
