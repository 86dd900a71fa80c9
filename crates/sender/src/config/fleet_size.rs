//! How many senders share each destination's limit.

/// The number of senders, by the two keys that tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetSize {
    /// The larger number, as each sender's share decreases with it; 0 if only a 0 is configured.
    pub(super) senders: usize,
    /// Why the number is doubtful.
    pub(super) doubt: Option<FleetSizeDoubt>,
}

/// Why the number of senders is doubtful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FleetSizeDoubt {
    /// The two keys disagree.
    #[error("settings.peers_total is {peers_total}, and peers lists {peers}")]
    Contradiction {
        /// The configured number.
        peers_total: usize,
        /// The number of listed peers.
        peers: usize,
    },
    /// Neither key is there.
    #[error("neither settings.peers_total nor peers tells how many senders there are")]
    Unknown,
    /// Only `peers` is there.
    #[error("settings.peers_total is missing")]
    MissingTotal,
}

impl FleetSize {
    /// The number of senders for a configured number and a number of listed peers, 0 if there is no list.
    pub(super) fn new(peers_total: Option<usize>, peers: usize) -> Self {
        match (peers_total, peers) {
            (Some(peers_total), 0) => Self { senders: peers_total, doubt: None },
            (Some(peers_total), peers) if peers_total == peers => Self { senders: peers, doubt: None },
            (Some(peers_total), peers) => {
                let doubt = FleetSizeDoubt::Contradiction { peers_total, peers };
                Self { senders: peers_total.max(peers), doubt: Some(doubt) }
            }
            (None, 0) => Self { senders: 1, doubt: Some(FleetSizeDoubt::Unknown) },
            (None, peers) => Self { senders: peers, doubt: Some(FleetSizeDoubt::MissingTotal) },
        }
    }
}
