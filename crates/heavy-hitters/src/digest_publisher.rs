//! The part of a sender that publishes its digests to the aggregators.
//!
//! Invariant: a closed slice is published in each round until a summary acknowledges it with this process's incarnation and
//! total; so what is lost costs a round, and what the aggregator lost is published again.
//!
//! In a slice the sender goes on until it has received the last broadcast ([`BROADCAST_ROUNDS`]). An aggregator that has not
//! replied for a second is joined by the next that was selected, in the window after that from the first round on; it is
//! sent digests itself in the first rounds only then, as chance may have kept its replies back.
//!
//! Memory: a number for each slice of the window and aggregator contacted, and for those that are silent.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::aggregator_selection::aggregators;
use crate::digest::Digest;
use crate::round::{BROADCAST_ROUNDS, Round};
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counter::SliceCounter;
use crate::window_summary::{Acknowledgement, WindowSummary};

/// Maximum number of digests to one aggregator in one round: a new one is sent a whole window.
const MAX_DIGESTS_PER_ROUND: usize = 2;
/// After so many rounds of a slice without a reply the next aggregator is contacted, too.
const REPLY_TIMEOUT_ROUNDS: u64 = BROADCAST_ROUNDS[1] + 1;

/// A digest and the aggregator that is to receive it.
#[derive(Clone, Debug)]
pub(crate) struct AddressedDigest {
    pub to: SenderId,
    pub digest: Digest,
}

/// What a sender publishes in one round.
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

/// What one sender has published, and which aggregators have it.
#[derive(Clone, Debug)]
pub(crate) struct DigestPublisher {
    own_id: SenderId,
    sender_count: usize,
    incarnation: Incarnation,
    last_published: Option<Round>,
    /// The aggregators contacted in the open slice, each with the round of its last reply.
    contacted: BTreeMap<SenderId, Option<u64>>,
    /// Slices that were acknowledged, with their totals then.
    acknowledged: BTreeMap<AcknowledgedSlice, u64>,
    /// Aggregators that did not reply in a whole slice, and before which slice another is contacted as well.
    silent_until: BTreeMap<SenderId, Slice>,
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
            silent_until: BTreeMap::new(),
        }
    }

    /// When this round is to be published, if it has not been and is not past.
    pub(crate) fn next_publish_time(&self, now: UnixMillis) -> Option<UnixMillis> {
        let round = Round::containing(now);
        let publish_time = round.publish_time(self.own_id.0, self.sender_count);
        (publish_time > now && self.last_published != Some(round)).then_some(publish_time)
    }

    /// Whether this round is to be published now; true once for each round.
    pub(crate) fn take_due(&mut self, now: UnixMillis) -> bool {
        let round = Round::containing(now);
        if now < round.publish_time(self.own_id.0, self.sender_count) || self.last_published == Some(round) {
            return false;
        }
        self.last_published = Some(round);
        true
    }

    /// What to publish in this round of a slice.
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

    /// The aggregators that are sent digests in this round of a slice.
    fn targets(&self, slice: Slice, round: u64) -> Vec<SenderId> {
        let selected = aggregators(slice, self.sender_count);
        let is_silent = |sender: &SenderId| self.silent_until.contains_key(sender);
        let first = selected.iter().position(|sender| !is_silent(sender)).unwrap_or(0);
        let first_replied = selected.get(first).is_some_and(|sender| self.has_replied(*sender));
        let additional = usize::from(round >= REPLY_TIMEOUT_ROUNDS && !first_replied);
        let candidates = selected.into_iter().enumerate().take(first + 1 + additional);
        let is_contacted = |(index, sender): &(usize, SenderId)| {
            *index >= first || !is_silent(sender) || round < BROADCAST_ROUNDS[0]
        };
        candidates.filter(is_contacted).map(|(_, sender)| sender).collect()
    }

    /// Whether an aggregator has replied in the open slice, or is this sender.
    fn has_replied(&self, aggregator: SenderId) -> bool {
        aggregator == self.own_id || self.contacted.get(&aggregator).is_some_and(Option::is_some)
    }

    /// Which digests of a window an aggregator is sent: those that it has not acknowledged; if it has all, and a reply is
    /// still wanted, one again.
    fn due_digests(&self, to: SenderId, round: u64, digests: Vec<Digest>) -> Vec<Digest> {
        let (mut acknowledged, mut due): (Vec<Digest>, Vec<Digest>) =
            digests.into_iter().partition(|digest| self.is_acknowledged(to, digest));
        if due.is_empty() {
            acknowledged.truncate(usize::from(!self.has_served(to, round)));
            return acknowledged;
        }
        if due.len() > MAX_DIGESTS_PER_ROUND {
            // By turns, as nothing is known to be acknowledged before the first reply.
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

    /// Whether an aggregator's last reply is all that this round of the slice can have. That of another aggregator may be
    /// of few senders.
    fn has_served(&self, aggregator: SenderId, round: u64) -> bool {
        let replied = self.contacted.get(&aggregator).copied().flatten();
        replied.is_some_and(|reply| round < BROADCAST_ROUNDS[1] || reply >= BROADCAST_ROUNDS[1])
    }

    /// Takes in a summary of an aggregator while `current` is the open slice.
    pub(crate) fn receive_summary(
        &mut self,
        from: SenderId,
        summary: &WindowSummary,
        current: Slice,
        counter: &SliceCounter,
    ) {
        self.silent_until.remove(&from);
        if summary.slice == current
            && let Some(replied) = self.contacted.get_mut(&from)
        {
            *replied = (*replied).max(Some(u64::from(summary.round)));
        }
        self.receive_acknowledgement(from, summary.slice, summary.acknowledgement, counter);
    }

    /// Takes in which slices of the window before `current` an aggregator has.
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
            let silent = contacted.into_iter().filter(|(_, replied)| replied.is_none());
            self.silent_until.extend(silent.map(|(sender, _)| (sender, expires)));
        }
        self.silent_until.retain(|_, until| *until > current && *until <= expires);
        self.acknowledged
            .retain(|key, _| key.slice.plus(SLICES_PER_WINDOW) >= current && key.slice <= current);
    }
}
