//! Publication of the digests of a sender to the aggregators.
//!
//! Invariant: a closed slice is published in each round until a summary acknowledges it with this process's
//! incarnation and total. A lost datagram delays the acknowledgement by a round; digests that the aggregator
//! has lost are published again.
//!
//! In each slice the sender publishes until it has received the last broadcast ([`BROADCAST_ROUNDS`]). If an
//! aggregator does not reply for a second, the next candidate is contacted as well. For a window after a slice
//! without any reply, the next candidate is contacted from the first round on, and the unresponsive aggregator
//! only in the first rounds.
//!
//! Memory: a number for each pair of a contacted aggregator and a slice of the window, and for each
//! unresponsive aggregator.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::aggregator_selection::aggregators;
use crate::digest::Digest;
use crate::round::{BROADCAST_ROUNDS, Round};
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counter::SliceCounter;
use crate::window_summary::{Acknowledgement, WindowSummary};

/// Maximum number of digests sent to one aggregator in one round; a new aggregator is sent a whole window, over
/// several rounds.
const MAX_DIGESTS_PER_ROUND: usize = 2;
/// Number of rounds of a slice without a reply after which the next candidate is contacted.
const REPLY_TIMEOUT_ROUNDS: u64 = BROADCAST_ROUNDS[1] + 1;

/// A digest, and the aggregator to which it is sent.
#[derive(Clone, Debug)]
pub(crate) struct AddressedDigest {
    pub to: SenderId,
    pub digest: Digest,
}

/// The digests that a sender publishes in one round.
#[derive(Clone, Debug, Default)]
pub(crate) struct Publication {
    /// Digests that this sender aggregates itself because it is an aggregator.
    pub own_digests: Vec<Digest>,
    /// Digests to be sent to other senders.
    pub remote_digests: Vec<AddressedDigest>,
}

/// A slice of this sender that an aggregator has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AcknowledgedSlice {
    aggregator: SenderId,
    slice: Slice,
}

/// Decides in each round which digests one sender publishes, and to which aggregators.
#[derive(Clone, Debug)]
pub(crate) struct DigestPublisher {
    own_id: SenderId,
    sender_count: usize,
    incarnation: Incarnation,
    last_published_round: Option<Round>,
    /// The aggregators contacted in the open slice, each with the round index of its last reply; `None` before
    /// its first reply.
    contacted_aggregators: BTreeMap<SenderId, Option<u64>>,
    /// The acknowledged total of each acknowledged slice.
    acknowledged_totals: BTreeMap<AcknowledgedSlice, u64>,
    /// Aggregators that did not reply in a whole slice, each with the slice in which it no longer counts as
    /// unresponsive.
    unresponsive_until: BTreeMap<SenderId, Slice>,
}

impl DigestPublisher {
    pub(crate) fn new(own_id: SenderId, sender_count: usize, incarnation: Incarnation) -> Self {
        Self {
            own_id,
            sender_count,
            incarnation,
            last_published_round: None,
            contacted_aggregators: BTreeMap::new(),
            acknowledged_totals: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
        }
    }

    /// Returns the publish time of the current round if it is in the future and this sender has not
    /// published in the round.
    pub(crate) fn next_publish_time(&self, now: UnixMillis) -> Option<UnixMillis> {
        let round = Round::containing(now);
        let publish_time = round.publish_time(self.own_id.0, self.sender_count);
        (publish_time > now && self.last_published_round != Some(round)).then_some(publish_time)
    }

    /// Whether this sender must publish now, because the publish time of the current round has come. Returns true only once
    /// for each round.
    pub(crate) fn take_due_round(&mut self, now: UnixMillis) -> bool {
        let round = Round::containing(now);
        if now < round.publish_time(self.own_id.0, self.sender_count)
            || self.last_published_round == Some(round)
        {
            return false;
        }
        self.last_published_round = Some(round);
        true
    }

    /// Returns the digests to publish in this round of the open slice `slice`.
    pub(crate) fn publish(&mut self, slice: Slice, round_index: u64, counter: &SliceCounter) -> Publication {
        let mut publication = Publication::default();
        for to in self.target_aggregators(slice, round_index) {
            let closed_slices = slice.window_before().rev();
            let digests: Vec<Digest> =
                closed_slices.filter_map(|closed| counter.digest(self.incarnation, closed)).collect();
            if to == self.own_id {
                publication.own_digests.extend(digests);
                continue;
            }
            let due = self.due_digests(to, round_index, digests);
            if !due.is_empty() {
                self.contacted_aggregators.entry(to).or_default();
            }
            publication.remote_digests.extend(due.into_iter().map(|digest| AddressedDigest { to, digest }));
        }
        publication
    }

    /// Returns the aggregators to which digests are sent in this round of a slice.
    fn target_aggregators(&self, slice: Slice, round_index: u64) -> Vec<SenderId> {
        let selected = aggregators(slice, self.sender_count);
        let is_unresponsive = |sender: &SenderId| self.unresponsive_until.contains_key(sender);
        let first_responsive_rank = selected.iter().position(|sender| !is_unresponsive(sender)).unwrap_or(0);
        let first_has_replied =
            selected.get(first_responsive_rank).is_some_and(|sender| self.has_replied(*sender));
        let additional_candidates = usize::from(round_index >= REPLY_TIMEOUT_ROUNDS && !first_has_replied);
        let candidates =
            selected.into_iter().enumerate().take(first_responsive_rank + 1 + additional_candidates);
        let is_contacted = |(rank, sender): &(usize, SenderId)| {
            *rank >= first_responsive_rank || !is_unresponsive(sender) || round_index < BROADCAST_ROUNDS[0]
        };
        candidates.filter(is_contacted).map(|(_, sender)| sender).collect()
    }

    /// Whether an aggregator has replied in the open slice, or is this sender.
    fn has_replied(&self, aggregator: SenderId) -> bool {
        aggregator == self.own_id || self.contacted_aggregators.get(&aggregator).is_some_and(Option::is_some)
    }

    /// Selects, from all digests of a window, the digests to send to an aggregator: those that the aggregator has not
    /// acknowledged. If it has acknowledged all of them, one digest is sent as long as another reply is needed.
    fn due_digests(&self, to: SenderId, round_index: u64, digests: Vec<Digest>) -> Vec<Digest> {
        let (mut acknowledged, mut due): (Vec<Digest>, Vec<Digest>) =
            digests.into_iter().partition(|digest| self.is_acknowledged(to, digest));
        if due.is_empty() {
            acknowledged.truncate(usize::from(!self.has_latest_reply(to, round_index)));
            return acknowledged;
        }
        if due.len() > MAX_DIGESTS_PER_ROUND {
            // The digests are rotated from round to round, so that all are sent although none is acknowledged before the
            // first reply.
            let rotation = round_index as usize * MAX_DIGESTS_PER_ROUND % due.len();
            due.rotate_left(rotation);
            due.truncate(MAX_DIGESTS_PER_ROUND);
        }
        due
    }

    fn is_acknowledged(&self, aggregator: SenderId, digest: &Digest) -> bool {
        let key = AcknowledgedSlice { aggregator, slice: digest.slice };
        self.acknowledged_totals.get(&key) == Some(&digest.total)
    }

    /// Whether the last reply of an aggregator is as complete as a reply in this round can be.
    fn has_latest_reply(&self, aggregator: SenderId, round_index: u64) -> bool {
        let last_reply = self.contacted_aggregators.get(&aggregator).copied().flatten();
        last_reply.is_some_and(|reply| round_index < BROADCAST_ROUNDS[1] || reply >= BROADCAST_ROUNDS[1])
    }

    /// Handles a summary received from an aggregator while `current` is the open slice.
    pub(crate) fn receive_summary(
        &mut self,
        from: SenderId,
        summary: &WindowSummary,
        current: Slice,
        counter: &SliceCounter,
    ) {
        self.unresponsive_until.remove(&from);
        if summary.slice == current
            && let Some(last_reply) = self.contacted_aggregators.get_mut(&from)
        {
            *last_reply = (*last_reply).max(Some(u64::from(summary.round_index)));
        }
        self.receive_acknowledgement(from, summary.slice, summary.acknowledgement, counter);
    }

    /// Stores which slices of the window before `current` an aggregator has acknowledged.
    fn receive_acknowledgement(
        &mut self,
        aggregator: SenderId,
        current: Slice,
        acknowledgement: Acknowledgement,
        counter: &SliceCounter,
    ) {
        let is_stored = |slice: &Slice| acknowledgement.slice_bits & (1 << current.age_of(*slice)) != 0;
        let stored_slices = current.window_before().filter(is_stored);
        let total: u64 = stored_slices.map(|slice| counter.total(slice)).sum();
        let is_confirmed = acknowledgement.incarnation == self.incarnation && acknowledgement.total == total;
        for slice in current.window_before() {
            let key = AcknowledgedSlice { aggregator, slice };
            if is_confirmed && is_stored(&slice) {
                self.acknowledged_totals.insert(key, counter.total(slice));
            } else {
                self.acknowledged_totals.remove(&key);
            }
        }
    }

    /// Begins the slice `current`; `previous` was the open slice until now.
    pub(crate) fn begin_slice(&mut self, previous: Slice, current: Slice) {
        let contacted_aggregators = std::mem::take(&mut self.contacted_aggregators);
        let expires_in = current.plus(SLICES_PER_WINDOW);
        if previous.plus(1) == current {
            let unresponsive =
                contacted_aggregators.into_iter().filter(|(_, last_reply)| last_reply.is_none());
            self.unresponsive_until.extend(unresponsive.map(|(sender, _)| (sender, expires_in)));
        }
        self.unresponsive_until.retain(|_, until| *until > current && *until <= expires_in);
        self.acknowledged_totals
            .retain(|key, _| key.slice.plus(SLICES_PER_WINDOW) >= current && key.slice <= current);
    }
}
