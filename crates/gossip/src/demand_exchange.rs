//! Exchanges demand between the senders of a fleet without a leader. In each round every sender reports its load at each
//! limit to one or a few aggregators, which send the sums of all reports to all reporters.
//!
//! The aggregators differ from round to round; every sender selects them by the same computation. From the sums each
//! sender computes the capacity of each limit.

mod aggregator_selection;
mod limit_capacity;
mod liveness;
mod local_demand;
mod received_sums;
mod rounds;

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use aggregator_selection::AggregatorSelection;
pub use limit_capacity::LimitCapacity;
use liveness::LivenessEstimate;
use local_demand::DemandHistory;
pub use local_demand::LocalDemand;
use received_sums::ReceivedSums;
pub use rounds::ROUND;
use rounds::{nearest_round, round_at, round_start};

use crate::limit_estimate::{LimitEstimate, RecoveryRamp};
use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load, RoundTotals};
use crate::message::{GossipError, GossipMessage, MessageKind, is_zero_when_encoded};
use crate::outgoing_datagram::OutgoingDatagram;

/// Time over which the senders' reports are spread, in milliseconds from the start of a round. The last reports are
/// received between the end of this time and the end of the round.
const REPORT_WINDOW: u64 = 200;
/// Maximum age of the sums from which capacities are computed, in rounds.
const MAX_SUMS_AGE: u64 = 4;
/// Sums include a limit if its demand or its calls exceed this fraction of it, or if calls were rejected or failed.
const NEAR_LIMIT_FRACTION: f64 = 0.5;

/// The state of one sender in the exchange of demand, and in its role as the aggregator of some rounds.
#[derive(Debug)]
pub struct DemandExchange {
    own_number: usize,
    sender_count: usize,
    recovery_ramp: RecoveryRamp,
    /// This sender's demand and calls at each of its limits.
    local_demand: BTreeMap<LimitId, DemandHistory>,
    last_report_round: Option<u64>,
    aggregators: AggregatorSelection,
    liveness: LivenessEstimate,
    /// The sums of the reports that this sender received as an aggregator, by round. There may be sums of the previous,
    /// the current and the next round; they are removed when they are sent.
    open_rounds: BTreeMap<u64, RoundTotals>,
    /// The received sums of the latest round. If several aggregators sent sums for that round, those that include the most
    /// senders are stored.
    received_sums: Option<ReceivedSums>,
    /// The latest round whose sums were applied to the estimates.
    applied_round: Option<u64>,
    estimates: BTreeMap<LimitId, LimitEstimate>,
    /// Capacities computed from the sums of `applied_round`.
    capacities: Vec<LimitCapacity>,
}

impl DemandExchange {
    /// The exchange of sender `own_number` in a fleet of `sender_count`; `recovery_ramp` limits the calls during an
    /// outage of a destination and after it.
    pub fn new(own_number: usize, sender_count: usize, recovery_ramp: RecoveryRamp) -> Self {
        Self {
            own_number,
            sender_count,
            recovery_ramp,
            local_demand: BTreeMap::new(),
            last_report_round: None,
            aggregators: AggregatorSelection::new(sender_count),
            liveness: LivenessEstimate::new(sender_count),
            open_rounds: BTreeMap::new(),
            received_sums: None,
            applied_round: None,
            estimates: BTreeMap::new(),
            capacities: Vec::new(),
        }
    }

    /// When the next [`report`](Self::report) is due.
    pub fn next_report(&self, now: UnixMillis) -> UnixMillis {
        let offset = self.own_number as u64 * REPORT_WINDOW / self.sender_count.max(1) as u64;
        let report_at = round_start(round_at(now)) + offset;
        if report_at > now { report_at } else { report_at + ROUND }
    }

    /// When the next [`sums`](Self::sums) are due; `None` if no received reports wait to be added up and sent.
    pub fn next_sums(&self) -> Option<UnixMillis> {
        self.open_rounds.keys().next().map(|round| round_start(round + 1))
    }

    /// Records this sender's demand at each of its limits. The first call in a round returns the reports to be sent,
    /// later calls in the round return none.
    pub fn report(&mut self, now: UnixMillis, demands: &[LocalDemand]) -> Vec<OutgoingDatagram> {
        let round = round_at(now);
        self.record_demands(now, demands);
        if self.last_report_round.replace(round) == Some(round) {
            return Vec::new();
        }
        let loads = self.local_loads();
        let has_recent_sums = self.received_sums.as_ref().is_some_and(|received| received.round + 2 >= round);
        let mut datagrams = Vec::new();
        for to in self.aggregators.select(round, self.own_number, has_recent_sums) {
            if to == self.own_number {
                self.open_rounds.entry(round).or_default().add(self.own_number, &loads);
                continue;
            }
            let report = GossipMessage {
                kind: MessageKind::Report,
                round: round as u32,
                sender_count: 1,
                loads: loads.clone(),
            };
            datagrams.push(OutgoingDatagram { to, bytes: report.encode() });
        }
        datagrams
    }

    /// Updates the history of each limit in `demands`, and removes the histories and estimates of all other limits.
    fn record_demands(&mut self, now: UnixMillis, demands: &[LocalDemand]) {
        for demand in demands {
            let history =
                self.local_demand.entry(demand.limit_id).or_insert_with(|| DemandHistory::new(round_at(now)));
            history.record(now, demand);
        }
        let is_in_demands = |limit_id: &LimitId| demands.iter().any(|demand| demand.limit_id == *limit_id);
        self.local_demand.retain(|limit_id, _| is_in_demands(limit_id));
        self.estimates.retain(|limit_id, _| is_in_demands(limit_id));
    }

    /// This sender's load at each limit. Loads that would be encoded as zero are omitted.
    fn local_loads(&self) -> Vec<LimitLoad> {
        let loads =
            self.local_demand.iter().map(|(&limit_id, history)| LimitLoad { limit_id, load: history.load() });
        loads.filter(|entry| !is_zero_when_encoded(&entry.load)).collect()
    }

    /// Handles a datagram received from sender number `from`.
    ///
    /// # Errors
    ///
    /// [`GossipError`] if the datagram was dropped. Sums that do not supersede the stored ones are dropped, too, but their
    /// sender is recorded as alive.
    pub fn receive(&mut self, now: UnixMillis, from: usize, datagram: &[u8]) -> Result<(), GossipError> {
        if from == self.own_number || from >= self.sender_count {
            return Err(GossipError::UnknownSender);
        }
        let message = GossipMessage::decode(datagram)?;
        let current_round = round_at(now);
        let round = nearest_round(message.round, current_round).ok_or(GossipError::WrongRound)?;
        match message.kind {
            MessageKind::Report => self.receive_report(current_round, round, from, &message.loads),
            MessageKind::Sums { sample_bits } => {
                if round > current_round || round + MAX_SUMS_AGE < current_round {
                    return Err(GossipError::WrongRound);
                }
                self.aggregators.record_alive(from);
                let included = self.liveness.observe(round, sample_bits);
                self.store_sums(ReceivedSums::new(round, included, message))
            }
        }
    }

    /// Accepts the first report of a sender for the current or the next round, because clocks differ by less than a
    /// round, and for an earlier round until its sums are sent.
    fn receive_report(
        &mut self,
        current_round: u64,
        round: u64,
        from: usize,
        loads: &[LimitLoad],
    ) -> Result<(), GossipError> {
        let is_near = round == current_round || round == current_round + 1;
        let is_open = is_near || self.open_rounds.contains_key(&round);
        if !is_open || !self.open_rounds.entry(round).or_default().add(from, loads) {
            return Err(GossipError::WrongRound);
        }
        self.aggregators.record_alive(from);
        Ok(())
    }

    /// Stores received sums if they supersede the stored ones.
    fn store_sums(&mut self, sums: ReceivedSums) -> Result<(), GossipError> {
        if self.received_sums.as_ref().is_some_and(|received| !sums.supersedes(received)) {
            return Err(GossipError::WrongRound);
        }
        self.received_sums = Some(sums);
        Ok(())
    }

    /// Returns the sums of all rounds that have ended. Those of a round are addressed to each sender that reported in it.
    pub fn sums(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        while let Some(entry) =
            self.open_rounds.first_entry().filter(|entry| round_start(entry.key() + 1) <= now)
        {
            let (round, totals) = entry.remove_entry();
            datagrams.extend(self.sums_of_round(round, totals));
        }
        datagrams
    }

    /// Returns the sums of one round, addressed to each other sender that reported in it. If this sender reported in it,
    /// the sums are stored.
    fn sums_of_round(&mut self, round: u64, totals: RoundTotals) -> Vec<OutgoingDatagram> {
        let RoundTotals { reporters, loads } = totals;
        let sample_bits = self.liveness.sample_bits(&reporters);
        let loads = loads.into_iter().map(|(limit_id, load)| LimitLoad { limit_id, load });
        let sums = GossipMessage {
            kind: MessageKind::Sums { sample_bits },
            round: round as u32,
            sender_count: u16::try_from(reporters.len()).unwrap_or(u16::MAX),
            loads: loads.filter(|entry| self.is_relevant(entry)).collect(),
        };
        let bytes = sums.encode();
        if reporters.contains(&self.own_number) {
            self.store_own_sums(round, sample_bits, &bytes);
        }
        let other_reporters = reporters.into_iter().filter(|sender| *sender != self.own_number);
        other_reporters.map(|to| OutgoingDatagram { to, bytes: bytes.clone() }).collect()
    }

    /// Whether a limit is included in sums. A limit that this sender does not report is always included, because this
    /// sender does not have the limit's value, and the load may be near it.
    fn is_relevant(&self, entry: &LimitLoad) -> bool {
        let Load { demand, calls, rejected, failed } = entry.load;
        let limit = self.local_demand.get(&entry.limit_id).map_or(0.0, |history| history.limit);
        rejected + failed != 0.0 || demand.max(calls) > NEAR_LIMIT_FRACTION * limit
    }

    /// Stores the sums that this sender computed. They are decoded from the message, so that they are rounded in the same
    /// way as at the senders that receive them.
    fn store_own_sums(&mut self, round: u64, sample_bits: u64, bytes: &[u8]) {
        if let Ok(message) = GossipMessage::decode(bytes) {
            let included = self.liveness.observe(round, sample_bits);
            // The sums of another aggregator may include more senders.
            let _ = self.store_sums(ReceivedSums::new(round, included, message));
        }
    }
}

#[cfg(test)]
mod tests;
