//! The number of senders in the fleet, among which each destination's limit is divided.

/// The number of senders, from the keys `settings.peers_total` and `peers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetSize {
    /// The larger of the two numbers, because it gives each sender the smaller part of a limit. It is 0 if
    /// `settings.peers_total` is 0 and no peers are listed.
    pub(super) senders: usize,
    /// Why the number may be wrong; `None` if the keys agree.
    pub(super) warning: Option<FleetSizeWarning>,
}

/// Why the number of senders may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FleetSizeWarning {
    /// The two keys state different numbers.
    #[error(
        "settings.peers_total is {peers_total}, but peers lists {peers} senders: the larger number is used"
    )]
    Contradiction {
        /// The value of `settings.peers_total`.
        peers_total: usize,
        /// Number of entries of `peers`.
        peers: usize,
    },
    /// Neither key is configured.
    #[error("settings.peers_total is missing and peers is empty: one sender is assumed")]
    Unknown,
    /// Only `peers` is configured.
    #[error("settings.peers_total is missing: the number of peers is used")]
    MissingTotal,
}

impl FleetSize {
    /// Determines the number of senders from `settings.peers_total`, `None` if missing, and the number of listed peers,
    /// 0 without a list.
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
