//! The aggregator role of a sender: it receives digests and replies with summaries.
//!
//! Invariant: summaries are sent only to senders that have published in the current slice, so that a sender receives at most
//! one datagram for each of its own and two broadcasts; and they are of the slice in which the senders published.
//!
//! Memory: that of [`DigestStore`] and three numbers for each sender; discarded with the slice, and completely after the
//! term.

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

/// A sender that has published in the open slice.
#[derive(Clone, Copy, Debug)]
struct Publisher {
    incarnation: Incarnation,
    /// The round in which the pending reply was requested.
    reply_pending_since: Option<Round>,
}

/// A round of a slice in which all publishers are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Broadcast {
    slice: Slice,
    round: u64,
}

/// A summary and the datagrams that carry it.
#[derive(Clone, Debug)]
pub(crate) struct AggregatorReply {
    pub summary: WindowSummary,
    pub datagrams: Vec<OutgoingDatagram>,
}

/// The received digests, and the senders to be answered.
#[derive(Clone, Debug)]
pub(crate) struct Aggregator {
    store: DigestStore,
    publishers: BTreeMap<SenderId, Publisher>,
    last_broadcast: Option<Broadcast>,
}

impl Aggregator {
    /// An aggregator without digests for `sender_count` senders, each of which accepts at most `max_per_slice` messages in a
    /// slice.
    pub(crate) fn new(sender_count: usize, max_per_slice: u64) -> Self {
        let store = DigestStore::new(sender_count, max_per_slice);
        Self { store, publishers: BTreeMap::new(), last_broadcast: None }
    }

    /// Begins another slice; `selected` is whether this sender is still an aggregator.
    pub(crate) fn begin_slice(&mut self, slice: Slice, selected: bool) {
        self.publishers.clear();
        self.store.discard_expired(slice);
        if !selected {
            self.store.clear();
        }
    }

    /// Stores a digest of another sender.
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
            // Fails only if more messages were accepted than the configured maximum.
            let _ = self.store.insert(own_id, digest, slice);
        }
    }

    /// The replies to senders that published in earlier rounds; in a broadcast, to all that have published in this slice.
    pub(crate) fn poll_replies(
        &mut self,
        now: UnixMillis,
        slice: Slice,
        round: u64,
    ) -> Option<AggregatorReply> {
        let broadcast_round = BROADCAST_ROUNDS.into_iter().rfind(|broadcast| *broadcast <= round)?;
        let broadcast = Broadcast { slice, round: broadcast_round };
        let to_all = self.last_broadcast != Some(broadcast) && self.store.register_count() > 0;
        let due = self.due_publishers(Round::containing(now), to_all);
        if due.is_empty() && !to_all {
            return None;
        }
        self.last_broadcast = Some(broadcast);
        let summary = WindowSummary::new(slice, round as u8, &self.store.totals(slice));
        let datagrams = due.into_iter().filter_map(|to| self.reply_to(to, &summary)).collect();
        Some(AggregatorReply { summary, datagrams })
    }

    /// The senders with a reply pending from an earlier round, or all.
    fn due_publishers(&self, round: Round, all: bool) -> Vec<SenderId> {
        let is_due =
            |publisher: &Publisher| all || publisher.reply_pending_since.is_some_and(|since| since < round);
        self.publishers.iter().filter(|(_, publisher)| is_due(publisher)).map(|(sender, _)| *sender).collect()
    }

    fn reply_to(&mut self, to: SenderId, summary: &WindowSummary) -> Option<OutgoingDatagram> {
        let publisher = self.publishers.get_mut(&to)?;
        publisher.reply_pending_since = None;
        let incarnation = publisher.incarnation;
        let stored = self.store.stored_of(to, incarnation, summary.slice);
        let acknowledgement = Acknowledgement { incarnation, slices: stored.slices, total: stored.total };
        let reply = WindowSummary { acknowledgement, ..summary.clone() };
        Some(OutgoingDatagram { to, body: GossipMessage::Summary(reply).encode() })
    }
}
