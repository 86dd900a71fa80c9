//! Creates the datagrams that are sent in a round: this sender's report, and summaries for the senders that reported to
//! it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use super::FleetView;
use super::message::{
    EncodedVote, MAX_OBSERVERS, MAX_RECEIVERS, MAX_REGISTERS, MAX_SLICES, ObserverEntry, ReceiverEntry,
    RegisterEntry, Report, SliceEntry, Summary, VoteEntry, epoch_of,
};
use crate::datagram_budget::DatagramBudget;
use crate::envelope::{EnvelopeError, Kind};
use crate::outgoing_datagram::OutgoingDatagram;
use crate::outlier_detection::{ReceiverId, Vote};
use crate::peer_selection::hash_words;
use crate::tenant_usage::{epoch_at, epoch_start};

/// When the first sender reports, in milliseconds after the start of a round: late enough for the summaries of the previous
/// round to have arrived.
const REPORT_START: u64 = 200;
/// Time over which the reports of all senders are spread after [`REPORT_START`], in milliseconds.
const REPORT_WINDOW: u64 = 200;
/// Number of aggregators after a round without a summary, or while a receiver is voted down; otherwise there is one
/// aggregator.
const MAX_AGGREGATORS: usize = 2;
/// Bit that is set in the sender number before it is hashed. It makes the order of aggregators independent of that in the
/// demand exchange, which uses the same hash function.
const AGGREGATOR_HASH_DOMAIN: u64 = 1 << 32;

impl FleetView {
    /// Returns the datagrams that are due: summaries for the reporters of past rounds, and this sender's report as soon as
    /// the budget allows it. Must be called several times per round.
    pub fn due_datagrams(&mut self, now: UnixMillis, budget: &mut DatagramBudget) -> Vec<OutgoingDatagram> {
        let round = epoch_at(now);
        let mut datagrams = self.due_summaries(now, round);
        self.begin_round(now, round);
        self.send_reports(now, round, budget, &mut datagrams);
        datagrams
    }

    /// Returns the summaries of the rounds before `round`. Reports for these rounds are no longer accepted afterwards.
    fn due_summaries(&mut self, now: UnixMillis, round: u64) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        while let Some(entry) = self.reporters.first_entry().filter(|entry| *entry.key() < round) {
            let (reported_round, reporters) = entry.remove_entry();
            datagrams.extend(self.summaries(now, reported_round, &reporters));
            self.newest_summary_round = self.newest_summary_round.max(reported_round);
        }
        // If the clock was set back, reporters of rounds in the far future may remain.
        self.reporters.retain(|reported_round, _| *reported_round <= round + 1);
        self.oldest_open_round = round;
        datagrams
    }

    /// Until this sender's report for the round is due, clears the aggregators of the previous round. Then it selects those
    /// of the round.
    fn begin_round(&mut self, now: UnixMillis, round: u64) {
        if self.reported_round == Some(round) {
            return;
        }
        self.pending_aggregators.clear();
        if now.millis_since(epoch_start(round)) >= self.report_time() {
            self.reported_round = Some(round);
            self.pending_aggregators = self.aggregators(now, round);
            self.update_zone_senders(now, round);
        }
    }

    /// When this sender's report becomes due, in milliseconds after the start of a round.
    fn report_time(&self) -> u64 {
        REPORT_START + self.local.number as u64 * REPORT_WINDOW / self.zones.len().max(1) as u64
    }

    /// Adds this sender's report for each pending aggregator to `datagrams`, as long as the budget allows it.
    fn send_reports(
        &mut self,
        now: UnixMillis,
        round: u64,
        budget: &mut DatagramBudget,
        datagrams: &mut Vec<OutgoingDatagram>,
    ) {
        while let Some(&to) = self.pending_aggregators.first() {
            budget.request(Kind::Report, now);
            if !budget.try_acquire(Kind::Report, now) {
                break;
            }
            self.pending_aggregators.remove(0);
            datagrams.extend(self.report(now, round).ok().map(|bytes| OutgoingDatagram { to, bytes }));
        }
    }

    /// The aggregators of a round other than this sender: the first senders in a pseudorandom order that every sender
    /// computes identically.
    fn aggregators(&self, now: UnixMillis, round: u64) -> Vec<usize> {
        let hash = |number: usize| hash_words([round, number as u64 | AGGREGATOR_HASH_DOMAIN]);
        let mut order: Vec<usize> = (0..self.zones.len()).collect();
        order.sort_by_cached_key(|number| (hash(*number), *number));
        let needs_second_aggregator = self.has_missed_summary(round) || self.outliers.has_down_votes(now);
        order.truncate(if needs_second_aggregator { MAX_AGGREGATORS } else { 1 });
        order.retain(|number| *number != self.local.number);
        order
    }

    /// Updates the number of live senders in this sender's zone: those whose usage or messages were received recently. After
    /// a round without a summary the number remains unchanged.
    fn update_zone_senders(&mut self, now: UnixMillis, round: u64) {
        if self.has_missed_summary(round) {
            return;
        }
        let mut live_senders = self.usage.known_senders(now);
        live_senders.extend((0..self.zones.len()).filter(|number| self.members.is_alive(*number, now)));
        live_senders.insert(self.local.number);
        let own_zone = self.zones.get(self.local.number);
        self.zone_senders =
            live_senders.into_iter().filter(|number| self.zones.get(*number) == own_zone).count();
    }

    /// Whether no summary of the round before `round` was received or sent.
    fn has_missed_summary(&self, round: u64) -> bool {
        self.newest_summary_round + 1 < round
    }

    /// Encodes this sender's report for a round.
    fn report(&self, now: UnixMillis, round: u64) -> Result<Vec<u8>, EnvelopeError> {
        let register = |epochs_back| {
            let own_register = self.usage.own_register(now, epoch_of(round, epochs_back)?)?;
            Some(RegisterEntry::new(epochs_back, own_register))
        };
        let registers = (0..MAX_REGISTERS as u8).filter_map(register).collect();
        let votes = self.outliers.own_votes(now);
        let votes = votes.iter().map(|own_vote| VoteEntry {
            receiver: own_vote.receiver,
            vote: EncodedVote::new(round, &own_vote.vote),
        });
        Report { incarnation: self.local.incarnation.0, round, registers, votes: votes.collect() }.encode()
    }

    /// Returns one summary of a round for each reporter; the reporters of one zone receive identical summaries.
    pub(super) fn summaries(
        &self,
        now: UnixMillis,
        round: u64,
        reporters: &BTreeSet<usize>,
    ) -> Vec<OutgoingDatagram> {
        let slices = self.slices(now, round);
        let votes = self.outliers.relayable_votes(now);
        let mut summaries: BTreeMap<u16, Option<Vec<u8>>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for &to in reporters {
            let Some(&zone) = self.zones.get(to) else { continue };
            let summary = summaries.entry(zone).or_insert_with(|| {
                let incarnation = self.local.incarnation.0;
                let receivers = self.receivers(round, zone, &votes);
                Summary { incarnation, round, slices: slices.clone(), receivers }.encode().ok()
            });
            datagrams.extend(summary.clone().map(|bytes| OutgoingDatagram { to, bytes }));
        }
        datagrams
    }

    /// The usage of the senders that reported to this one, for each epoch of a summary.
    fn slices(&self, now: UnixMillis, round: u64) -> Vec<SliceEntry> {
        let slice = |epochs_back| {
            let slice = self.usage.aggregate(now, epoch_of(round, epochs_back)?)?;
            Some(SliceEntry { epochs_back, slice })
        };
        (0..MAX_SLICES as u8).filter_map(slice).collect()
    }

    /// The entries of a summary for the senders of `zone`: the votes of the zone's senders, by receiver. The receivers with
    /// the most down votes come first.
    fn receivers(
        &self,
        round: u64,
        zone: u16,
        votes: &BTreeMap<ReceiverId, BTreeMap<usize, Vote>>,
    ) -> Vec<ReceiverEntry> {
        let mut ranked = Vec::new();
        for (receiver, votes_by_observer) in votes {
            let zone_votes =
                votes_by_observer.iter().filter(|(observer, _)| self.zones.get(**observer) == Some(&zone));
            let mut zone_votes: Vec<(&usize, &Vote)> = zone_votes.collect();
            if zone_votes.is_empty() {
                continue;
            }
            zone_votes.sort_by_key(|(observer, vote)| (Reverse(vote.last_observed_at), **observer));
            let down_votes = zone_votes.iter().filter(|(_, vote)| !vote.recovered).count();
            let votes = zone_votes.into_iter().take(MAX_OBSERVERS).map(|(observer, vote)| ObserverEntry {
                observer: *observer as u16,
                vote: EncodedVote::new(round, vote),
            });
            let entry = ReceiverEntry { receiver: *receiver, votes: votes.collect() };
            ranked.push((Reverse(down_votes), entry));
        }
        ranked.sort_by_key(|(down_votes, entry)| (*down_votes, entry.receiver));
        ranked.truncate(MAX_RECEIVERS);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}
