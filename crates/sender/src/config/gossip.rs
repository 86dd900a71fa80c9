//! The configuration of gossip between senders.

use std::net::{AddrParseError, SocketAddr};

/// Addresses of gossip between the senders of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct GossipConfig {
    /// This sender's number.
    pub me: usize,
    /// The address on which this sender receives gossip.
    pub listen: SocketAddr,
    /// The address on which each sender receives gossip, by its number.
    pub peers: Vec<SocketAddr>,
}

/// Why the configuration of gossip cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum GossipConfigError {
    /// This sender's number is missing, or is not that of a listed peer.
    #[error("settings.me is not a number below that of peers, {peers}")]
    InvalidNumber {
        /// The number of senders.
        peers: usize,
    },
    /// The address on which gossip is received is missing.
    #[error("peers are listed, and peer_listen is missing")]
    MissingListenAddress,
    /// The address of a sender cannot be parsed.
    #[error("peers: {0}")]
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
