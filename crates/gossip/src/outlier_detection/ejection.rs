//! Decides which receivers of a destination are ejected, and for how long.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use super::OutlierDetector;
use super::call_history::CallHistory;
use super::matching::max_matching;
use super::vote::{ObserverVote, ReceiverId, Vote};

/// Number of observers that must vote a receiver down. With two, one forged vote and one vote after failures by chance
/// would eject a receiver.
pub const QUORUM: usize = 3;
/// Minimum quorum. In zones of fewer than five live senders, a quorum is more than half of the senders, but at least this
/// number.
pub const MIN_QUORUM: usize = 2;
/// Time for which a receiver is ejected after the quorum was reached or a call of this sender failed, in milliseconds.
/// After this time this sender probes the receiver with a call.
///
/// The time is shorter than [`VOTE_TTL_AFTER_OBSERVATION`](super::vote::VOTE_TTL_AFTER_OBSERVATION), so that senders whose
/// probes fail renew their votes before these expire.
pub const EJECTION_DURATION: u64 = 3_000;
/// Time for which an ejection period is stored after its quorum was last confirmed, in milliseconds. If the quorum is
/// reached again within this time, the period continues; otherwise a quorum that is briefly missed because of lost
/// datagrams would start a new [`EJECTION_DURATION`].
const EJECTION_MEMORY: u64 = 10_000;
/// At most 1 / `EJECTED_SHARE_DIVISOR` of a destination's receivers are ejected at the same time.
pub const EJECTED_SHARE_DIVISOR: usize = 2;

/// The period during which a quorum votes a receiver down.
#[derive(Clone, Copy, Debug)]
pub(super) struct EjectionPeriod {
    /// When the quorum was first reached.
    started_at: UnixMillis,
    /// When the quorum was last confirmed.
    confirmed_at: UnixMillis,
}

/// A receiver that may be ejected. Candidates are ejected in ascending order, those that have been down longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    down_since: UnixMillis,
    receiver: ReceiverId,
}

/// An observer's newest vote on a receiver, and the senders that reported a vote of this observer that it is down.
#[derive(Clone, Debug)]
struct ObserverState {
    vote: Vote,
    reporters: BTreeSet<usize>,
}

impl OutlierDetector {
    /// Returns those of a destination's `receivers` that are ejected by the votes of this zone's senders, including this one.
    /// The receivers that have been down longest come first.
    ///
    /// `zone_senders` is the number of live senders of this zone, including this one. The caller's circuit breakers are
    /// independent of ejections.
    pub fn ejected(
        &mut self,
        now: UnixMillis,
        zone_senders: usize,
        receivers: &[ReceiverId],
    ) -> Vec<ReceiverId> {
        self.ejections.retain(|_, period| period.confirmed_at.saturating_add(EJECTION_MEMORY) > now);
        let receivers: BTreeSet<ReceiverId> = receivers.iter().copied().collect();
        let quorum = (zone_senders / 2 + 1).clamp(MIN_QUORUM, QUORUM);
        let candidates = receivers.iter().filter_map(|receiver| self.candidate(now, *receiver, quorum));
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_unstable();
        candidates.truncate(receivers.len() / EJECTED_SHARE_DIVISOR);
        candidates.into_iter().map(|candidate| candidate.receiver).collect()
    }

    /// Returns the receiver as a candidate if a quorum votes it down and no probe by this sender is due.
    fn candidate(&mut self, now: UnixMillis, receiver: ReceiverId, quorum: usize) -> Option<Candidate> {
        let history = self.histories.get(&receiver).copied().unwrap_or_default();
        let down_since = self.down_since(now, receiver, &history, quorum)?;
        let new_period = EjectionPeriod { started_at: now, confirmed_at: now };
        let period = self.ejections.entry(receiver).or_insert(new_period);
        period.confirmed_at = now;
        let ejected_from = history.unanswered_failure().max(period.started_at);
        let must_probe = now >= ejected_from.saturating_add(EJECTION_DURATION);
        (!must_probe).then_some(Candidate { down_since, receiver })
    }

    /// The earliest time at which the first failures of a quorum of observers had been recorded; `None` if there is no
    /// quorum.
    fn down_since(
        &self,
        now: UnixMillis,
        receiver: ReceiverId,
        history: &CallHistory,
        quorum: usize,
    ) -> Option<UnixMillis> {
        let observers = self.observers_voting_down(now, receiver, history);
        let reporters: Vec<&BTreeSet<usize>> = observers.iter().map(|observer| &observer.reporters).collect();
        if max_matching(&reporters) < quorum {
            return None;
        }
        let mut first_failures: Vec<UnixMillis> =
            observers.iter().map(|observer| observer.vote.first_observed_at).collect();
        first_failures.sort_unstable();
        first_failures.get(quorum - 1).copied()
    }

    /// The observers in this zone whose newest vote is that the receiver is down, in ascending order of their numbers.
    fn observers_voting_down(
        &self,
        now: UnixMillis,
        receiver: ReceiverId,
        history: &CallHistory,
    ) -> Vec<ObserverState> {
        let mut observers: BTreeMap<usize, ObserverState> = BTreeMap::new();
        for (reporter, votes) in &self.votes {
            for ObserverVote { observer, vote, .. } in votes.valid_on(now, receiver) {
                if !self.is_in_own_zone(observer) || history.refutes(vote.first_observed_at) {
                    continue;
                }
                let initial_state = ObserverState { vote, reporters: BTreeSet::new() };
                let state = observers.entry(observer).or_insert(initial_state);
                state.vote = state.vote.max(vote);
                if !vote.recovered {
                    state.reporters.insert(*reporter);
                }
            }
        }
        if let Some(vote) = history.vote().filter(|vote| vote.is_fresh(now)) {
            let own_state = ObserverState { vote, reporters: [self.own_number].into() };
            observers.insert(self.own_number, own_state);
        }
        observers.into_values().filter(|state| !state.vote.recovered).collect()
    }
}
