//! The sums of one round that an aggregator computed, which may be this sender.

use std::collections::BTreeMap;

use crate::limit_id::LimitId;
use crate::load_totals::Load;
use crate::message::GossipMessage;

/// The sums of one round, over the senders that reported to one aggregator.
#[derive(Debug)]
pub(crate) struct ReceivedSums {
    pub round: u64,
    /// Number of senders whose loads are included in the sums.
    pub sender_count: usize,
    /// Bits of the sampled senders whose loads are included.
    pub included_bits: u64,
    pub loads: BTreeMap<LimitId, Load>,
}

impl ReceivedSums {
    /// Creates the sums of a round from a message that contains them. `included_bits` are the bits of the sampled senders
    /// whose loads the sums include.
    pub fn new(round: u64, included_bits: u64, message: GossipMessage) -> Self {
        let loads = message.loads.into_iter().map(|entry| (entry.limit_id, entry.load));
        Self { round, sender_count: usize::from(message.sender_count), included_bits, loads: loads.collect() }
    }

    /// Whether these sums replace `other`: they are of a later round, or of the same round and include more senders.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.round, self.sender_count) > (other.round, other.sender_count)
    }
}
