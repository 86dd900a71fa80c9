//! The configuration of gossip between senders.

use std::net::{AddrParseError, SocketAddr};

/// The validated addresses of the senders that exchange gossip.
#[derive(Clone, Debug)]
pub(crate) struct GossipConfig {
    /// This sender's number, an index of `peers`.
    pub me: usize,
    /// The address on which this sender receives gossip.
    pub listen: SocketAddr,
    /// The address on which each sender of the fleet, this one included, receives gossip, indexed by sender number.
    pub peers: Vec<SocketAddr>,
}

/// Why the configuration of gossip is invalid; the sender then works without gossip.
#[derive(Debug, thiserror::Error)]
pub(super) enum GossipConfigError {
    /// The key `settings.me` is missing or is not the number of a listed peer.
    #[error("settings.me must be a whole number below {peers}, the number of peers")]
    InvalidNumber {
        /// Number of entries of the key `peers`.
        peers: usize,
    },
    /// The key `peer_listen` is missing.
    #[error("peer_listen is missing: must be an address and a port, because peers are listed")]
    MissingListenAddress,
    /// An entry of the key `peers` is not an address and a port.
    #[error("peers contains an invalid entry: {0}")]
    InvalidPeer(#[from] AddrParseError),
}

impl GossipConfig {
    /// Validates the configuration of gossip.
    ///
    /// # Errors
    ///
    /// [`GossipConfigError`] if a value is missing or invalid.
    pub(super) fn new(
        me: Option<u64>,
        listen: Option<SocketAddr>,
        peers: &[String],
    ) -> Result<Self, GossipConfigError> {
        let me = me.and_then(|me| usize::try_from(me).ok()).filter(|&me| me < peers.len());
        let me = me.ok_or(GossipConfigError::InvalidNumber { peers: peers.len() })?;
        let listen = listen.ok_or(GossipConfigError::MissingListenAddress)?;
        let peers: Result<Vec<SocketAddr>, _> = peers.iter().map(|addr| addr.parse()).collect();
        Ok(Self { me, listen, peers: peers? })
    }
}
