//! Publishes the digests of a sender to the aggregators.
//!
//! Invariant: a closed slice is published in each round until a summary acknowledges it with this process's incarnation and
//! total; a lost datagram delays it by a round, and digests that the aggregator has lost are published again.
//!
//! In each slice the sender publishes until it has received the last broadcast ([`BROADCAST_ROUNDS`]). If an aggregator does
//! not reply for a second, the next one is contacted as well; for a window after such a slice it is contacted from the first
//! round on, and the unresponsive one only in the first rounds.
//!
//! Memory: a number for each slice of the window and contacted aggregator, and for each unresponsive one.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::aggregator_selection::aggregators;
use crate::digest::Digest;
use crate::round::{BROADCAST_ROUNDS, Round};
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counter::SliceCounter;
use crate::window_summary::{Acknowledgement, WindowSummary};

/// Maximum number of digests to one aggregator in one round; a new aggregator is sent a whole window.
const MAX_DIGESTS_PER_ROUND: usize = 2;
/// Number of rounds of a slice without a reply after which the next aggregator is contacted.
const REPLY_TIMEOUT_ROUNDS: u64 = BROADCAST_ROUNDS[1] + 1;

/// A digest and its recipient.
#[derive(Clone, Debug)]
pub(crate) struct AddressedDigest {
    pub to: SenderId,
    pub digest: Digest,
}

/// The digests that a sender publishes in one round.
#[derive(Clone, Debug, Default)]
pub(crate) struct Publication {
    /// Digests that this sender aggregates itself.
    pub own: Vec<Digest>,
    pub remote: Vec<AddressedDigest>,
}

/// A slice that an aggregator acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AcknowledgedSlice {
    aggregator: SenderId,
    slice: Slice,
}

/// The state of one sender's publications.
#[derive(Clone, Debug)]
pub(crate) struct DigestPublisher {
    own_id: SenderId,
    sender_count: usize,
    incarnation: Incarnation,
    last_published: Option<Round>,
    /// The aggregators contacted in the open slice, each with the round of its last reply.
    contacted: BTreeMap<SenderId, Option<u64>>,
    /// The acknowledged slices, each with the acknowledged total.
    acknowledged: BTreeMap<AcknowledgedSlice, u64>,
    /// Aggregators that did not reply in a whole slice, each with the slice until which it counts as unresponsive.
    unresponsive_until: BTreeMap<SenderId, Slice>,
}

impl DigestPublisher {
    pub(crate) fn new(own_id: SenderId, sender_count: usize, incarnation: Incarnation) -> Self {
        Self {
            own_id,
            sender_count,
            incarnation,
            last_published: None,
            contacted: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
        }
    }

    /// The publish time of this round, if it is in the future and the round has not been published.
    pub(crate) fn next_publish_time(&self, now: UnixMillis) -> Option<UnixMillis> {
        let round = Round::containing(now);
        let publish_time = round.publish_time(self.own_id.0, self.sender_count);
        (publish_time > now && self.last_published != Some(round)).then_some(publish_time)
    }

    /// Whether this round is due to be published; true once for each round.
    pub(crate) fn take_due(&mut self, now: UnixMillis) -> bool {
        let round = Round::containing(now);
        if now < round.publish_time(self.own_id.0, self.sender_count) || self.last_published == Some(round) {
            return false;
        }
        self.last_published = Some(round);
        true
    }

    /// The digests to publish in this round of a slice.
    pub(crate) fn publish(&mut self, slice: Slice, round: u64, counter: &SliceCounter) -> Publication {
        let mut publication = Publication::default();
        for to in self.targets(slice, round) {
            let closed = slice.window_before().rev();
            let digests: Vec<Digest> =
                closed.filter_map(|closed| counter.digest(self.incarnation, closed)).collect();
            if to == self.own_id {
                publication.own.extend(digests);
                continue;
            }
            let due = self.due_digests(to, round, digests);
            if !due.is_empty() {
                self.contacted.entry(to).or_default();
            }
            publication.remote.extend(due.into_iter().map(|digest| AddressedDigest { to, digest }));
        }
        publication
    }

    /// The aggregators to which digests are sent in this round of a slice.
    fn targets(&self, slice: Slice, round: u64) -> Vec<SenderId> {
        let selected = aggregators(slice, self.sender_count);
        let is_unresponsive = |sender: &SenderId| self.unresponsive_until.contains_key(sender);
        let first = selected.iter().position(|sender| !is_unresponsive(sender)).unwrap_or(0);
        let first_replied = selected.get(first).is_some_and(|sender| self.has_replied(*sender));
        let additional = usize::from(round >= REPLY_TIMEOUT_ROUNDS && !first_replied);
        let candidates = selected.into_iter().enumerate().take(first + 1 + additional);
        let is_contacted = |(index, sender): &(usize, SenderId)| {
            *index >= first || !is_unresponsive(sender) || round < BROADCAST_ROUNDS[0]
        };
        candidates.filter(is_contacted).map(|(_, sender)| sender).collect()
    }

    /// Whether an aggregator has replied in the open slice, or is this sender.
    fn has_replied(&self, aggregator: SenderId) -> bool {
        aggregator == self.own_id || self.contacted.get(&aggregator).is_some_and(Option::is_some)
    }

    /// The digests of a window to send to an aggregator: those that it has not acknowledged; if it has acknowledged all, one
    /// of them while another reply is needed.
    fn due_digests(&self, to: SenderId, round: u64, digests: Vec<Digest>) -> Vec<Digest> {
        let (mut acknowledged, mut due): (Vec<Digest>, Vec<Digest>) =
            digests.into_iter().partition(|digest| self.is_acknowledged(to, digest));
        if due.is_empty() {
            acknowledged.truncate(usize::from(!self.has_served(to, round)));
            return acknowledged;
        }
        if due.len() > MAX_DIGESTS_PER_ROUND {
            // In rotation, as nothing is acknowledged before the first reply.
            let first = round as usize * MAX_DIGESTS_PER_ROUND % due.len();
            due.rotate_left(first);
            due.truncate(MAX_DIGESTS_PER_ROUND);
        }
        due
    }

    fn is_acknowledged(&self, aggregator: SenderId, digest: &Digest) -> bool {
        let slice = AcknowledgedSlice { aggregator, slice: digest.slice };
        self.acknowledged.get(&slice) == Some(&digest.total)
    }

    /// Whether an aggregator's last reply is as complete as a reply in this round can be.
    fn has_served(&self, aggregator: SenderId, round: u64) -> bool {
        let replied = self.contacted.get(&aggregator).copied().flatten();
        replied.is_some_and(|reply| round < BROADCAST_ROUNDS[1] || reply >= BROADCAST_ROUNDS[1])
    }

    /// Handles a summary of an aggregator while `current` is the open slice.
    pub(crate) fn receive_summary(
        &mut self,
        from: SenderId,
        summary: &WindowSummary,
        current: Slice,
        counter: &SliceCounter,
    ) {
        self.unresponsive_until.remove(&from);
        if summary.slice == current
            && let Some(replied) = self.contacted.get_mut(&from)
        {
            *replied = (*replied).max(Some(u64::from(summary.round)));
        }
        self.receive_acknowledgement(from, summary.slice, summary.acknowledgement, counter);
    }

    /// Records which slices of the window before `current` an aggregator has stored.
    fn receive_acknowledgement(
        &mut self,
        aggregator: SenderId,
        current: Slice,
        acknowledgement: Acknowledgement,
        counter: &SliceCounter,
    ) {
        let is_stored = |slice: &Slice| acknowledgement.slices & (1 << current.age_of(*slice)) != 0;
        let stored = current.window_before().filter(is_stored);
        let total: u64 = stored.map(|slice| counter.total(slice)).sum();
        let agrees = acknowledgement.incarnation == self.incarnation && acknowledgement.total == total;
        for slice in current.window_before() {
            let key = AcknowledgedSlice { aggregator, slice };
            if agrees && is_stored(&slice) {
                self.acknowledged.insert(key, counter.total(slice));
            } else {
                self.acknowledged.remove(&key);
            }
        }
    }

    /// Begins the slice `current` after `previous`.
    pub(crate) fn begin_slice(&mut self, previous: Slice, current: Slice) {
        let contacted = std::mem::take(&mut self.contacted);
        let expires = current.plus(SLICES_PER_WINDOW);
        if previous.plus(1) == current {
            let unresponsive = contacted.into_iter().filter(|(_, replied)| replied.is_none());
            self.unresponsive_until.extend(unresponsive.map(|(sender, _)| (sender, expires)));
        }
        self.unresponsive_until.retain(|_, until| *until > current && *until <= expires);
        self.acknowledged
            .retain(|key, _| key.slice.plus(SLICES_PER_WINDOW) >= current && key.slice <= current);
    }
}
