//! The sums of one round as received from an aggregator.

use std::collections::BTreeMap;

use crate::limit_id::LimitId;
use crate::load_totals::Load;
use crate::message::GossipMessage;

/// The sums of one round, over the senders that reported to one aggregator.
#[derive(Debug)]
pub(crate) struct ReceivedSums {
    pub round: u64,
    /// Number of senders that are included.
    pub senders: usize,
    /// Bits of the sampled senders that are included.
    pub included: u64,
    pub loads: BTreeMap<LimitId, Load>,
}

impl ReceivedSums {
    /// The sums of a round in a message. `included` are the bits of the sampled senders in it.
    pub fn new(round: u64, included: u64, message: GossipMessage) -> Self {
        let loads = message.loads.into_iter().map(|entry| (entry.limit_id, entry.load));
        Self { round, senders: usize::from(message.senders), included, loads: loads.collect() }
    }

    /// Whether these sums replace others: they are of a later round, or of the same round and more senders.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.round, self.senders) > (other.round, other.senders)
    }
}
