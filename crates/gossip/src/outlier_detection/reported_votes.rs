//! Votes that one sender reported: its own votes, and those that it relayed as an aggregator.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use super::bounded_map::evict_oldest;
use super::vote::{ObserverVote, ReceiverId, Vote};

/// Time after which a vote expires unless it is received again, in milliseconds: two rounds of datagrams.
pub const VOTE_TTL_AFTER_RECEIPT: u64 = 2_000;
/// Maximum number of stored votes that one sender reported. If there are more, the votes received last are stored.
pub const MAX_REPORTED_VOTES: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VoteKey {
    receiver: ReceiverId,
    observer: usize,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedVote {
    vote: Vote,
    /// When the vote was last received, by the reader's clock.
    received_at: UnixMillis,
}

impl ReceivedVote {
    fn is_valid(&self, now: UnixMillis) -> bool {
        self.received_at.saturating_add(VOTE_TTL_AFTER_RECEIPT) > now && self.vote.is_fresh(now)
    }
}

/// The votes that one sender reported, at most [`MAX_REPORTED_VOTES`].
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedVotes {
    votes: BTreeMap<VoteKey, ReceivedVote>,
}

impl ReportedVotes {
    /// Stores the vote, unless a newer vote of the same observer on the same receiver is stored.
    pub fn insert(&mut self, now: UnixMillis, reported: ObserverVote) {
        let ObserverVote { receiver, observer, vote } = reported;
        let received = ReceivedVote { vote, received_at: now };
        let stored = self.votes.entry(VoteKey { receiver, observer }).or_insert(received);
        if vote >= stored.vote {
            *stored = received;
        }
        evict_oldest(&mut self.votes, MAX_REPORTED_VOTES, |received| (received.received_at, received.vote));
    }

    /// The votes that are valid at `now`.
    pub fn valid(&self, now: UnixMillis) -> impl Iterator<Item = ObserverVote> {
        let valid = self.votes.iter().filter(move |(_, received)| received.is_valid(now));
        valid.map(|(key, received)| observer_vote(*key, *received))
    }

    /// The votes on `receiver` that are valid at `now`.
    pub fn valid_on(&self, now: UnixMillis, receiver: ReceiverId) -> impl Iterator<Item = ObserverVote> {
        let first = VoteKey { receiver, observer: 0 };
        let last = VoteKey { receiver, observer: usize::MAX };
        let valid = self.votes.range(first..=last).filter(move |(_, received)| received.is_valid(now));
        valid.map(|(key, received)| observer_vote(*key, *received))
    }

    pub fn forget_observer(&mut self, observer: usize) {
        self.votes.retain(|key, _| key.observer != observer);
    }

    pub fn remove_expired(&mut self, now: UnixMillis) {
        self.votes.retain(|_, received| received.is_valid(now));
    }

    pub fn is_empty(&self) -> bool {
        self.votes.is_empty()
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.votes.len()
    }
}

fn observer_vote(key: VoteKey, received: ReceivedVote) -> ObserverVote {
    ObserverVote { receiver: key.receiver, observer: key.observer, vote: received.vote }
}
