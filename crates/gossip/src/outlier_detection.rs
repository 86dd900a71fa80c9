//! Ejects receivers to which the calls of several senders of a zone fail. The senders exchange votes, because a single
//! sender makes too few calls to detect a failing receiver.
//!
//! Invariant: a receiver is never ejected by the votes of senders outside the reader's zone or of a single sender, nor if the
//! reader's own calls refute the votes. At least half of a destination's receivers, and at least one, are not ejected.
//!
//! Votes of other senders are relayed by aggregators, which may forge them. Therefore each reporter is matched with at most
//! one observer, and only observers that are matched with different reporters count for the quorum.

mod bounded_map;
mod call_history;
mod ejection;
mod matching;
mod reported_votes;
mod vote;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use bounded_map::evict_oldest;
use call_history::CallHistory;
use ejection::EjectionPeriod;
use reported_votes::ReportedVotes;
pub use vote::{CallResult, ObserverVote, OwnVote, ReceiverId, Vote};

/// Maximum time by which a vote's last observation may be ahead of the reader's clock, in milliseconds.
const MAX_CLOCK_SKEW: u64 = 500;
/// Maximum number of receivers whose call history is stored.
pub const MAX_HISTORIES: usize = 1_024;
/// Maximum number of votes that a sender includes in its report.
pub const MAX_ANNOUNCED_VOTES: usize = 8;

/// The results of this sender's calls, the votes of other senders, and the resulting ejections.
///
/// At most `MAX_REPORTED_VOTES` votes for each sender of the fleet and `MAX_HISTORIES` call histories are stored, all of
/// which expire. An ejection period is stored for ten seconds after a quorum last voted the receiver down.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{ObserverVote, OutlierDetector, ReceiverId, Vote};
/// let mut detector = OutlierDetector::new(0, vec![0; 6]); // six senders in one zone
/// let failing = ReceiverId::of(3, "a:1");
/// let now = UnixMillis(1_000);
/// let vote = Vote { first_observed_at: now - 500, last_observed_at: now - 100, recovered: false };
/// for observer in 1..=3 {
///     detector.receive_votes(now, observer, &[ObserverVote { receiver: failing, observer, vote }]);
/// }
/// assert_eq!(detector.ejected(now, 6, &[failing, ReceiverId::of(3, "b:1")]), [failing]);
/// assert!(detector.ejected(now + 2_100, 6, &[failing, ReceiverId::of(3, "b:1")]).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    own_number: usize,
    /// The zone of each sender, indexed by sender number.
    zones: Vec<u16>,
    histories: BTreeMap<ReceiverId, CallHistory>,
    /// The votes of other senders, by the sender that reported them.
    votes: BTreeMap<usize, ReportedVotes>,
    /// The ejection period of each receiver that a quorum votes down or recently voted down.
    ejections: BTreeMap<ReceiverId, EjectionPeriod>,
}

impl OutlierDetector {
    /// Creates the detector of sender `own_number` in a fleet; `zones` holds the zone of each sender, indexed by sender
    /// number.
    pub fn new(own_number: usize, zones: Vec<u16>) -> Self {
        let (histories, votes) = (BTreeMap::new(), BTreeMap::new());
        Self { own_number, zones, histories, votes, ejections: BTreeMap::new() }
    }

    /// Records the result of one call from this sender to `receiver`.
    pub fn record_call(&mut self, now: UnixMillis, receiver: ReceiverId, result: CallResult) {
        self.remove_expired(now);
        self.histories.entry(receiver).or_default().record(now, result);
        evict_oldest(&mut self.histories, MAX_HISTORIES, CallHistory::last_call);
    }

    /// This sender's own votes, newest first, at most `MAX_ANNOUNCED_VOTES`.
    pub fn own_votes(&self, now: UnixMillis) -> Vec<OwnVote> {
        let votes = self.histories.iter().filter_map(|(receiver, history)| {
            let vote = history.vote()?;
            Some(OwnVote { receiver: *receiver, vote })
        });
        let mut votes: Vec<OwnVote> = votes.filter(|own_vote| own_vote.vote.is_fresh(now)).collect();
        votes.sort_by_key(|own_vote| (Reverse(own_vote.vote.last_observed_at), own_vote.receiver));
        votes.truncate(MAX_ANNOUNCED_VOTES);
        votes
    }

    /// Stores the votes that a sender reported: its own votes, or those that it relays as an aggregator.
    ///
    /// Votes of unknown senders and of the reader itself are ignored, as are those that are too old or too far ahead of the
    /// reader's clock.
    pub fn receive_votes(&mut self, now: UnixMillis, reporter: usize, votes: &[ObserverVote]) {
        self.remove_expired(now);
        if !self.is_peer(reporter) {
            return;
        }
        for &reported in votes {
            let vote = reported.vote;
            let is_possible = vote.first_observed_at <= vote.last_observed_at
                && vote.last_observed_at <= now.saturating_add(MAX_CLOCK_SKEW);
            if is_possible && vote.is_fresh(now) && self.is_peer(reported.observer) {
                self.votes.entry(reporter).or_default().insert(now, reported);
            }
        }
    }

    /// Removes all votes of an observer whose process was replaced, including those that others reported.
    pub fn forget_observer(&mut self, observer: usize) {
        self.votes.remove(&observer);
        for votes in self.votes.values_mut() {
            votes.forget_observer(observer);
        }
    }

    /// The votes that this sender relays as an aggregator: the newest vote of each observer in any zone, by receiver.
    ///
    /// Only votes that their observers reported themselves and this sender's own votes are relayed; votes received from other
    /// aggregators are not.
    pub fn relayable_votes(&self, now: UnixMillis) -> BTreeMap<ReceiverId, BTreeMap<usize, Vote>> {
        let mut relayable: BTreeMap<ReceiverId, BTreeMap<usize, Vote>> = BTreeMap::new();
        for (reporter, votes) in &self.votes {
            for ObserverVote { receiver, observer, vote } in votes.valid(now) {
                if observer == *reporter {
                    relayable.entry(receiver).or_default().insert(observer, vote);
                }
            }
        }
        for OwnVote { receiver, vote } in self.own_votes(now) {
            relayable.entry(receiver).or_default().insert(self.own_number, vote);
        }
        relayable
    }

    /// Whether there is a valid vote that a receiver is down.
    pub fn has_down_votes(&self, now: UnixMillis) -> bool {
        let reported = self.votes.values().flat_map(|votes| votes.valid(now)).map(|reported| reported.vote);
        let own_votes = self.own_votes(now).into_iter().map(|own_vote| own_vote.vote);
        reported.chain(own_votes).any(|vote| !vote.recovered)
    }

    fn is_peer(&self, number: usize) -> bool {
        number < self.zones.len() && number != self.own_number
    }

    fn is_in_own_zone(&self, number: usize) -> bool {
        self.zones.get(number) == self.zones.get(self.own_number)
    }

    fn remove_expired(&mut self, now: UnixMillis) {
        for votes in self.votes.values_mut() {
            votes.remove_expired(now);
        }
        self.votes.retain(|_, votes| !votes.is_empty());
        self.histories.retain(|_, history| history.is_fresh(now));
    }
}

#[cfg(test)]
mod tests;
