//! Why a received datagram was dropped.

use rudderspindle_gossip::{FleetViewError, GossipError, PermitError};

/// The cause, by the part that refused the datagram.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// A permit offer or grant.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// A report or view of usage and outliers.
    #[error(transparent)]
    FleetView(#[from] FleetViewError),
    /// A report or sum of demand, or a datagram of no known kind.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}
