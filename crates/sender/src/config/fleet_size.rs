//! The number of senders that share each destination's limit.

/// The number of senders, from the two keys that state it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetSize {
    /// The larger of the two numbers, which gives each sender the smaller share; 0 if only a 0 is configured.
    pub(super) senders: usize,
    /// Why the number may be wrong.
    pub(super) warning: Option<FleetSizeWarning>,
}

/// Why the number of senders may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FleetSizeWarning {
    /// The two keys disagree.
    #[error("settings.peers_total is {peers_total}, and peers lists {peers}")]
    Contradiction {
        /// The configured number.
        peers_total: usize,
        /// The number of listed peers.
        peers: usize,
    },
    /// Neither key is configured.
    #[error("neither settings.peers_total nor peers tells how many senders there are")]
    Unknown,
    /// Only `peers` is configured.
    #[error("settings.peers_total is missing")]
    MissingTotal,
}

impl FleetSize {
    /// Determines the number of senders from the configured number and the number of listed peers, 0 without a list.
    pub(super) fn new(peers_total: Option<usize>, peers: usize) -> Self {
        match (peers_total, peers) {
            (Some(peers_total), 0) => Self { senders: peers_total, warning: None },
            (Some(peers_total), peers) if peers_total == peers => Self { senders: peers, warning: None },
            (Some(peers_total), peers) => {
                let warning = FleetSizeWarning::Contradiction { peers_total, peers };
                Self { senders: peers_total.max(peers), warning: Some(warning) }
            }
            (None, 0) => Self { senders: 1, warning: Some(FleetSizeWarning::Unknown) },
            (None, peers) => Self { senders: peers, warning: Some(FleetSizeWarning::MissingTotal) },
        }
    }
}
