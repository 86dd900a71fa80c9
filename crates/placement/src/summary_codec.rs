//! Encoding of round summaries with 3 bits for each sender, so that the whole fleet fits into one datagram.
//!
//! Invariant: a report that does not fit is encoded as missing; a sender with a slot mask stores only rule sets of the summary.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::gossip_message::{EncodedSummary, GossipError, GossipMessage, MAX_SLOT_MASKS};
use crate::round_summary::{RoundSummary, SenderReport, SlotMask};

/// Number of bits of the code of each sender's report.
const CODE_BITS: usize = 3;
/// The code of [`SenderReport::Missing`].
const CODE_MISSING: usize = 0;
/// The code of [`SenderReport::NotVoting`].
const CODE_NOT_VOTING: usize = 1;
/// The code of a voting sender with the first slot mask of the encoded summary; the other masks have the codes after it.
const CODE_FIRST_MASK: usize = 2;

impl RoundSummary {
    /// Encodes the summary as a [`GossipMessage`].
    pub fn encode(&self) -> Vec<u8> {
        let frequent = self.most_frequent_masks();
        let mut slot_masks = [0; MAX_SLOT_MASKS];
        for (encoded_mask, mask) in slot_masks.iter_mut().zip(&frequent) {
            *encoded_mask = mask.0;
        }
        let mut report_codes = vec![0; encoded_len(self.reports.len())];
        for (index, report) in self.reports.iter().enumerate() {
            write_code(&mut report_codes, index, code_of(*report, &frequent));
        }
        let summary = EncodedSummary {
            round: self.round,
            sender_count: self.reports.len() as u16,
            rule_sets: self.rule_sets,
            slot_masks,
            report_codes: &report_codes,
        };
        GossipMessage::Summary(summary).encode()
    }

    /// Decodes a summary. Returns an error if the summary is not of a fleet of `sender_count` senders or contradicts itself.
    pub fn decode(encoded: &EncodedSummary<'_>, sender_count: u16) -> Result<RoundSummary, GossipError> {
        let report_count = usize::from(sender_count);
        if encoded.sender_count != sender_count || encoded.report_codes.len() != encoded_len(report_count) {
            return Err(GossipError::SenderCountMismatch);
        }
        let mut used_slots = 0;
        for (slot, id) in encoded.rule_sets.iter().enumerate() {
            used_slots |= u8::from(id.is_some()) << slot;
        }
        let slot_masks = encoded.slot_masks.map(SlotMask);
        if !slot_masks.iter().all(|mask| mask.is_consistent(used_slots)) {
            return Err(GossipError::InvalidSummary);
        }
        let report = |index| report_of(read_code(encoded.report_codes, index), &slot_masks);
        let reports = (0..report_count).map(report).collect();
        Ok(RoundSummary { round: encoded.round, rule_sets: encoded.rule_sets, reports })
    }

    /// The most frequent slot masks, at most [`MAX_SLOT_MASKS`], in descending order of their frequency.
    fn most_frequent_masks(&self) -> Vec<SlotMask> {
        let mut frequency: BTreeMap<SlotMask, usize> = BTreeMap::new();
        for mask in self.reports.iter().filter_map(|report| report.slot_mask()) {
            *frequency.entry(mask).or_default() += 1;
        }
        let mut masks: Vec<SlotMask> = frequency.keys().copied().collect();
        masks.sort_by_key(|mask| Reverse(frequency[mask]));
        masks.truncate(MAX_SLOT_MASKS);
        masks
    }
}

/// The code of a report; a report whose slot mask is not in `masks` is encoded as missing.
fn code_of(report: SenderReport, masks: &[SlotMask]) -> usize {
    match report {
        SenderReport::Missing => CODE_MISSING,
        SenderReport::NotVoting => CODE_NOT_VOTING,
        SenderReport::Voting(mask) => {
            let index = masks.iter().position(|known| *known == mask);
            index.map_or(CODE_MISSING, |index| CODE_FIRST_MASK + index)
        }
    }
}

fn report_of(code: usize, masks: &[SlotMask; MAX_SLOT_MASKS]) -> SenderReport {
    match code {
        CODE_MISSING => SenderReport::Missing,
        CODE_NOT_VOTING => SenderReport::NotVoting,
        code => SenderReport::Voting(masks[code - CODE_FIRST_MASK]),
    }
}

/// Length of the codes of `report_count` reports, in bytes.
fn encoded_len(report_count: usize) -> usize {
    (report_count * CODE_BITS).div_ceil(8)
}

fn write_code(bytes: &mut [u8], index: usize, code: usize) {
    for bit in 0..CODE_BITS {
        let position = CODE_BITS * index + bit;
        bytes[position / 8] |= ((code >> bit & 1) as u8) << (position % 8);
    }
}

fn read_code(bytes: &[u8], index: usize) -> usize {
    let mut code = 0;
    for bit in 0..CODE_BITS {
        let position = CODE_BITS * index + bit;
        code |= usize::from(bytes[position / 8] >> (position % 8) & 1) << bit;
    }
    code
}
