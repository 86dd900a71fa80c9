//! Collects the heartbeats of the rounds that this sender aggregates.
//!
//! Invariant: a summary includes only senders whose heartbeat of its round was received, each with all rule sets that the
//! sender stores. A sender with a rule set that does not fit into the summary is reported as missing.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use crate::gossip_message::Heartbeat;
use crate::round::Round;
use crate::round_summary::{RoundSummary, SenderReport, SlotMask};
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::sender_id::{Incarnation, SenderId};

/// Time from a round's start to its summary, in milliseconds: the caller's interval between two polls (100), a datagram's delay
/// (50) and the errors of two clocks (100 each).
pub(crate) const SUMMARY_DELAY_MS: u64 = 350;

/// Maximum number of rounds that are collected at once: the previous and the current round, and the next one because the
/// clocks of other senders may be ahead.
const MAX_OPEN_ROUNDS: usize = 3;

/// The fields of a heartbeat that are needed for the summary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CollectedHeartbeat {
    incarnation: Incarnation,
    voting: bool,
    rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// Bit `i` is set if `rule_sets[i]` is acknowledged.
    acknowledged: u8,
}

impl CollectedHeartbeat {
    fn of(heartbeat: &Heartbeat) -> CollectedHeartbeat {
        let Heartbeat { incarnation, voting, rule_sets, acknowledged, .. } = *heartbeat;
        CollectedHeartbeat { incarnation, voting, rule_sets, acknowledged }
    }
}

/// The heartbeats of one round by sender.
type RoundHeartbeats = BTreeMap<SenderId, CollectedHeartbeat>;

/// Collects heartbeats until their round is summarized.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct HeartbeatCollector {
    rounds: BTreeMap<Round, RoundHeartbeats>,
    last_summarized_round: Round,
}

impl HeartbeatCollector {
    /// Adds a heartbeat of a current round. Of two heartbeats of one sender, the one of the later incarnation is used;
    /// of the same incarnation, the one received last.
    pub fn insert(&mut self, from: SenderId, heartbeat: &Heartbeat) {
        if heartbeat.round <= self.last_summarized_round {
            return;
        }
        let heartbeats = self.rounds.entry(heartbeat.round).or_default();
        if heartbeats.get(&from).is_none_or(|known| known.incarnation <= heartbeat.incarnation) {
            heartbeats.insert(from, CollectedHeartbeat::of(heartbeat));
        }
        while self.rounds.len() > MAX_OPEN_ROUNDS {
            self.rounds.pop_first();
        }
    }

    /// Removes the rounds whose summaries are due at `now` and returns their summaries for a fleet of `sender_count` senders.
    pub fn due_summaries(&mut self, now: UnixMillis, sender_count: u16) -> Vec<RoundSummary> {
        let mut due = Vec::new();
        while let Some(first) = self.rounds.first_entry() {
            let round = *first.key();
            if round.start().saturating_add(SUMMARY_DELAY_MS) > now {
                break;
            }
            due.push(summarize(round, &first.remove(), sender_count));
            self.last_summarized_round = round;
        }
        due
    }
}

/// Summarizes a round's heartbeats: the highest rule sets that voting senders store, and which of them each sender stores.
fn summarize(round: Round, heartbeats: &RoundHeartbeats, sender_count: u16) -> RoundSummary {
    let rule_sets = highest_rule_sets(heartbeats);
    let report = |sender| match heartbeats.get(&SenderId(sender)) {
        None => SenderReport::Missing,
        Some(heartbeat) if !heartbeat.voting => SenderReport::NotVoting,
        Some(heartbeat) => {
            slot_mask(heartbeat, &rule_sets).map_or(SenderReport::Missing, SenderReport::Voting)
        }
    };
    RoundSummary { round, rule_sets, reports: (0..sender_count).map(report).collect() }
}

fn highest_rule_sets(heartbeats: &RoundHeartbeats) -> [RuleSetId; MAX_RULE_SETS] {
    let voting = heartbeats.values().filter(|heartbeat| heartbeat.voting);
    let all: BTreeSet<RuleSetId> =
        voting.flat_map(|heartbeat| heartbeat.rule_sets).filter(|id| id.is_some()).collect();
    let mut highest = [RuleSetId::default(); MAX_RULE_SETS];
    for (slot, id) in highest.iter_mut().zip(all.iter().rev()) {
        *slot = *id;
    }
    highest
}

/// Which of the `rule_sets` a sender stores and acknowledges; `None` if it stores a rule set that is not among them.
fn slot_mask(heartbeat: &CollectedHeartbeat, rule_sets: &[RuleSetId; MAX_RULE_SETS]) -> Option<SlotMask> {
    let mut mask = SlotMask::default();
    for (own_slot, stored) in heartbeat.rule_sets.iter().enumerate().filter(|(_, id)| id.is_some()) {
        let slot = rule_sets.iter().position(|id| id == stored)?;
        mask.insert(slot, heartbeat.acknowledged >> own_slot & 1 == 1);
    }
    Some(mask)
}
