//! Sends parts of rule sets to the senders that requested them.

use std::collections::BTreeMap;

use crate::datagram::OutgoingDatagram;
use crate::fleet_key::DrawSalt;
use crate::gossip_message::{GossipMessage, MAX_PART_LEN, PartRequest, RuleSetPart};
use crate::held_rule_sets::HeldRuleSets;
use crate::round::Round;
use crate::sender_id::SenderId;
use crate::settings::Settings;

/// Maximum number of parts that a sender sends in a round: 8 datagrams a second.
const MAX_PARTS_PER_ROUND: usize = 4;

/// Pending requests, at most one from each sender, and the number of parts sent in the current round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RuleSetUploads {
    requests: BTreeMap<SenderId, PartRequest>,
    round: Round,
    /// Number of parts that were sent in `round`, at most [`MAX_PARTS_PER_ROUND`].
    parts_sent: usize,
}

impl RuleSetUploads {
    /// Stores a request; it replaces a pending request of the same sender.
    pub fn insert(&mut self, from: SenderId, request: PartRequest) {
        self.requests.insert(from, request);
    }

    /// The parts to send. Requests beyond [`MAX_PARTS_PER_ROUND`] are dropped; their senders repeat them.
    pub fn poll_parts(
        &mut self,
        round: Round,
        held: &HeldRuleSets,
        settings: &Settings,
    ) -> Vec<OutgoingDatagram> {
        if self.round != round {
            (self.round, self.parts_sent) = (round, 0);
        }
        let mut datagrams = Vec::new();
        for (to, request) in self.take_requests(settings) {
            for body in requested_parts(request, held) {
                if self.parts_sent == MAX_PARTS_PER_ROUND {
                    return datagrams;
                }
                self.parts_sent += 1;
                datagrams.push(OutgoingDatagram { to, body });
            }
        }
        datagrams
    }

    /// Removes all requests and returns them in the order in which they are answered: requests for the fewest parts first, so
    /// that some senders soon have the complete rule set and can transfer it. Requests for equally many parts are answered in
    /// the order of the senders' numbers, starting at a number that is drawn for each round.
    fn take_requests(&mut self, settings: &Settings) -> Vec<(SenderId, PartRequest)> {
        let fleet_size = usize::from(settings.sender_count);
        let first_answered = settings.key.draw(self.round.number(), DrawSalt::FIRST_ANSWERED, fleet_size);
        let requests = std::mem::take(&mut self.requests);
        let (mut before_first, mut ordered): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|(sender, _)| sender.index() < first_answered);
        ordered.append(&mut before_first);
        ordered.sort_by_key(|(_, request)| request.parts.count_ones());
        ordered
    }
}

/// The requested parts as encoded messages; none if the rule set is not held.
fn requested_parts(request: PartRequest, held: &HeldRuleSets) -> Vec<Vec<u8>> {
    let Some(rule_set) = held.by_id.get(&request.rule_set) else { return Vec::new() };
    let bytes = rule_set.rules.encode();
    let part_count = bytes.len().div_ceil(MAX_PART_LEN) as u8;
    let parts = bytes.chunks(MAX_PART_LEN).enumerate().filter(|(index, _)| request.includes(*index));
    let encode = |(index, bytes)| {
        let part = RuleSetPart { rule_set: request.rule_set, index: index as u8, part_count, bytes };
        GossipMessage::Part(part).encode()
    };
    parts.map(encode).collect()
}
