//! Summary of a round's heartbeats: the rule sets that each sender stores and acknowledges.
//!
//! A slot is an index into the summary's list of rule sets.

use crate::round::Round;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::sender_id::SenderId;

/// The slots whose rule sets a sender stores (bits 0 to 3) and acknowledges (bits 4 to 7).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SlotMask(pub u8);

impl SlotMask {
    /// Bits 0 to 3, of the stored rule sets.
    const STORED_BITS: u8 = (1 << MAX_RULE_SETS) - 1;

    /// Records that the sender stores the rule set in this slot, and whether it acknowledges it.
    pub fn insert(&mut self, slot: usize, acknowledged: bool) {
        self.0 |= 1 << slot | u8::from(acknowledged) << (slot + MAX_RULE_SETS);
    }

    /// Whether the sender stores the rule set in this slot.
    pub fn is_stored(self, slot: usize) -> bool {
        self.0 >> slot & 1 == 1
    }

    /// Whether the sender acknowledges the rule set in this slot.
    pub fn is_acknowledged(self, slot: usize) -> bool {
        self.is_stored(slot + MAX_RULE_SETS)
    }

    /// Whether the stored rule sets are all in `used_slots`, and the acknowledged ones are all stored.
    pub fn is_consistent(self, used_slots: u8) -> bool {
        let stored = self.0 & Self::STORED_BITS;
        let acknowledged = self.0 >> MAX_RULE_SETS;
        stored & !used_slots == 0 && acknowledged & !stored == 0
    }
}

/// The report on one sender in a round summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SenderReport {
    /// No heartbeat of the sender was received, or its report did not fit into the summary.
    Missing,
    /// The sender was started without a record and has not recovered, so that its acknowledgements do not count.
    NotVoting,
    /// The sender's acknowledgements count.
    Voting(SlotMask),
}

impl SenderReport {
    pub fn is_voting(self) -> bool {
        matches!(self, SenderReport::Voting(_))
    }

    /// The slot mask of a voting sender.
    pub fn slot_mask(self) -> Option<SlotMask> {
        if let SenderReport::Voting(mask) = self { Some(mask) } else { None }
    }
}

/// The summary of one round's heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoundSummary {
    pub round: Round,
    /// The rule sets by slot; unused slots have the default value.
    pub rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// One report for each sender of the fleet, by the sender's number.
    pub reports: Vec<SenderReport>,
}

impl RoundSummary {
    /// The rule sets of the summary, each with its slot.
    pub fn rule_sets_with_slots(&self) -> impl Iterator<Item = (usize, RuleSetId)> {
        self.rule_sets.into_iter().enumerate().filter(|(_, id)| id.is_some())
    }

    /// All senders except `excluded`, each with its report.
    pub fn reports_except(&self, excluded: SenderId) -> impl Iterator<Item = (SenderId, SenderReport)> {
        self.all_reports().filter(move |(sender, _)| *sender != excluded)
    }

    /// The senders that store the rule set in a slot, so that they can transfer it.
    pub fn senders_storing(&self, slot: usize) -> impl Iterator<Item = SenderId> {
        self.senders_whose_mask(move |mask| mask.is_stored(slot))
    }

    /// The senders that acknowledge the rule set in a slot.
    pub fn senders_acknowledging(&self, slot: usize) -> impl Iterator<Item = SenderId> {
        self.senders_whose_mask(move |mask| mask.is_acknowledged(slot))
    }

    /// Whether all voting senders other than `own_id` store the rule set in a slot, and are a majority together with `own_id`.
    pub fn is_stored_by_all_others(&self, slot: usize, own_id: SenderId) -> bool {
        let voting = self.reports_except(own_id).filter(|(_, report)| report.is_voting()).count();
        let storing = self.senders_storing(slot).filter(|&sender| sender != own_id).count();
        storing == voting && (voting + 1) * 2 > self.reports.len()
    }

    fn all_reports(&self) -> impl Iterator<Item = (SenderId, SenderReport)> {
        self.reports.iter().enumerate().map(|(index, report)| (SenderId::from_index(index), *report))
    }

    fn senders_whose_mask(&self, matches: impl Fn(SlotMask) -> bool) -> impl Iterator<Item = SenderId> {
        self.all_reports()
            .filter(move |(_, report)| report.slot_mask().is_some_and(&matches))
            .map(|(sender, _)| sender)
    }
}
