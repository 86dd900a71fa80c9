//! The part of the configuration that gossip between senders needs.

use std::net::{AddrParseError, SocketAddr};

/// Addresses of gossip between the senders of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct GossipConfig {
    /// This sender's number.
    pub me: usize,
    /// Where this sender receives gossip.
    pub listen: SocketAddr,
    /// Where each sender receives gossip, by its number.
    pub peers: Vec<SocketAddr>,
}

/// Why a sender cannot gossip.
#[derive(Debug, thiserror::Error)]
pub(super) enum GossipConfigError {
    /// This sender's number is missing, or has no address.
    #[error("settings.me is not a number below that of peers, {peers}")]
    InvalidNumber {
        /// The number of senders.
        peers: usize,
    },
    /// There is no address to receive gossip at.
    #[error("peers are listed, and peer_listen is missing")]
    MissingListenAddress,
    /// The address of a sender cannot be parsed.
    #[error("peers: {0}")]
    InvalidPeer(#[from] AddrParseError),
}

impl GossipConfig {
    /// Validates what the configuration says of gossip.
    ///
    /// # Errors
    ///
    /// [`GossipConfigError`] if something is missing or cannot be used.
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
