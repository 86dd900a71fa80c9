//! The aggregator role of a sender: receives digests and replies with summaries.
//!
//! Invariant: a summary is sent only to senders that have published in the current slice, and it is a summary
//! for that slice. Therefore a sender receives at most one datagram for each datagram that it publishes, and
//! two broadcasts for each slice.
//!
//! Memory: the registers of [`DigestStore`], and three numbers for each sender. The numbers are discarded at the end of
//! the slice, the stored digests when they leave the window or when this sender is no longer an aggregator.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::datagram::OutgoingDatagram;
use crate::digest::Digest;
use crate::digest_store::DigestStore;
use crate::error::DatagramError;
use crate::gossip_message::GossipMessage;
use crate::round::{BROADCAST_ROUNDS, Round};
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::Slice;
use crate::window_summary::{Acknowledgement, WindowSummary};

/// A sender that has published a digest in the open slice.
#[derive(Clone, Copy, Debug)]
struct Publisher {
    incarnation: Incarnation,
    /// The round in which the first digest without a reply was received; `None` if no reply is pending.
    reply_pending_since: Option<Round>,
}

/// A round of a slice in which the aggregator replies to all publishers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Broadcast {
    slice: Slice,
    round_index: u64,
}

/// A summary, and the datagrams that send it to the publishers.
#[derive(Clone, Debug)]
pub(crate) struct AggregatorReply {
    pub summary: WindowSummary,
    pub datagrams: Vec<OutgoingDatagram>,
}

/// The received digests, and the senders that await a reply.
#[derive(Clone, Debug)]
pub(crate) struct Aggregator {
    store: DigestStore,
    publishers: BTreeMap<SenderId, Publisher>,
    last_broadcast: Option<Broadcast>,
}

impl Aggregator {
    /// Creates an aggregator without digests for `sender_count` senders, each of which accepts at most
    /// `max_per_slice` messages in a slice.
    pub(crate) fn new(sender_count: usize, max_per_slice: u64) -> Self {
        let store = DigestStore::new(sender_count, max_per_slice);
        Self { store, publishers: BTreeMap::new(), last_broadcast: None }
    }

    /// Begins another slice; `is_selected` is false if this sender is no longer an aggregator.
    pub(crate) fn begin_slice(&mut self, slice: Slice, is_selected: bool) {
        self.publishers.clear();
        self.store.discard_expired(slice);
        if !is_selected {
            self.store.clear();
        }
    }

    /// Stores a digest of another sender; a reply to that sender is then pending.
    pub(crate) fn receive(
        &mut self,
        now: UnixMillis,
        slice: Slice,
        from: SenderId,
        digest: Digest,
    ) -> Result<(), DatagramError> {
        let incarnation = digest.incarnation;
        self.store.insert(from, digest, slice)?;
        let publisher =
            self.publishers.entry(from).or_insert(Publisher { incarnation, reply_pending_since: None });
        publisher.incarnation = publisher.incarnation.max(incarnation);
        publisher.reply_pending_since.get_or_insert(Round::containing(now));
        Ok(())
    }

    /// Stores digests of this sender.
    pub(crate) fn insert_own(&mut self, own_id: SenderId, digests: Vec<Digest>, slice: Slice) {
        for digest in digests {
            // The insertion fails only if this sender accepted more messages than the configured maximum.
            let _ = self.store.insert(own_id, digest, slice);
        }
    }

    /// Returns the reply that is due: to the senders whose digests were received in earlier rounds, and once for each
    /// broadcast round to all senders that have published in this slice. `None` before the first broadcast round, and if
    /// no reply is due.
    pub(crate) fn poll_replies(
        &mut self,
        now: UnixMillis,
        slice: Slice,
        round_index: u64,
    ) -> Option<AggregatorReply> {
        let broadcast_round = BROADCAST_ROUNDS.into_iter().rfind(|broadcast| *broadcast <= round_index)?;
        let broadcast = Broadcast { slice, round_index: broadcast_round };
        let is_broadcast = self.last_broadcast != Some(broadcast) && self.store.register_count() > 0;
        let recipients = self.due_publishers(Round::containing(now), is_broadcast);
        if recipients.is_empty() && !is_broadcast {
            return None;
        }
        self.last_broadcast = Some(broadcast);
        let summary = WindowSummary::new(slice, round_index as u8, &self.store.totals(slice));
        let datagrams = recipients.into_iter().filter_map(|to| self.reply_to(to, &summary)).collect();
        Some(AggregatorReply { summary, datagrams })
    }

    /// The publishers whose reply is pending from an earlier round, or all publishers.
    fn due_publishers(&self, current_round: Round, include_all: bool) -> Vec<SenderId> {
        let is_due = |publisher: &Publisher| {
            include_all || publisher.reply_pending_since.is_some_and(|since| since < current_round)
        };
        self.publishers.iter().filter(|(_, publisher)| is_due(publisher)).map(|(sender, _)| *sender).collect()
    }

    fn reply_to(&mut self, to: SenderId, summary: &WindowSummary) -> Option<OutgoingDatagram> {
        let publisher = self.publishers.get_mut(&to)?;
        publisher.reply_pending_since = None;
        let incarnation = publisher.incarnation;
        let stored = self.store.stored_of(to, incarnation, summary.slice);
        let acknowledgement =
            Acknowledgement { incarnation, slice_bits: stored.slice_bits, total: stored.total };
        let reply = WindowSummary { acknowledgement, ..summary.clone() };
        Some(OutgoingDatagram { to, body: GossipMessage::Summary(reply).encode() })
    }
}
