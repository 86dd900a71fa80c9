//! Exchange of demand between the senders of a fleet, without a leader: in each round every sender reports its load at each
//! limit to one or a few aggregators, which answer all reporters with the sums.
//!
//! Each round has other aggregators, which every sender computes identically. From the sums each sender computes the
//! capacity of each limit.

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

/// The part of a round over which the senders' reports are spread, in milliseconds; the last reports arrive in the rest.
const REPORT_WINDOW: u64 = 200;
/// Number of rounds for which sums are used.
const MAX_SUMS_AGE: u64 = 4;
/// Sums include a limit if more than this fraction of it is in demand or called, or if calls are rejected or fail.
const NEAR_LIMIT_FRACTION: f64 = 0.5;

/// One sender's part in the exchange of demand.
#[derive(Debug)]
pub struct DemandExchange {
    own_number: usize,
    senders: usize,
    ramp: RecoveryRamp,
    local: BTreeMap<LimitId, DemandHistory>,
    last_report_round: Option<u64>,
    aggregators: AggregatorSelection,
    liveness: LivenessEstimate,
    /// The reports received as an aggregator, by round: those of the current round and its neighbours.
    collecting: BTreeMap<u64, RoundTotals>,
    /// Of the latest round with sums, those that include the most senders.
    received: Option<ReceivedSums>,
    /// The latest round whose sums were applied to the estimates.
    applied_round: Option<u64>,
    estimates: BTreeMap<LimitId, LimitEstimate>,
    /// Capacities computed from the sums of that round.
    capacities: Vec<LimitCapacity>,
}

impl DemandExchange {
    /// The exchange of sender `own_number` of `senders`; destinations recover from an outage along `ramp`.
    pub fn new(own_number: usize, senders: usize, ramp: RecoveryRamp) -> Self {
        Self {
            own_number,
            senders,
            ramp,
            local: BTreeMap::new(),
            last_report_round: None,
            aggregators: AggregatorSelection::new(senders),
            liveness: LivenessEstimate::new(senders),
            collecting: BTreeMap::new(),
            received: None,
            applied_round: None,
            estimates: BTreeMap::new(),
            capacities: Vec::new(),
        }
    }

    /// When the next [`report`](Self::report) is due.
    pub fn next_report(&self, now: UnixMillis) -> UnixMillis {
        let offset = self.own_number as u64 * REPORT_WINDOW / self.senders.max(1) as u64;
        let at = round_start(round_at(now)) + offset;
        if at > now { at } else { at + ROUND }
    }

    /// When the next [`sums`](Self::sums) are due; `None` without reports.
    pub fn next_sums(&self) -> Option<UnixMillis> {
        self.collecting.keys().next().map(|round| round_start(round + 1))
    }

    /// Records this sender's demand at each of its limits, and returns its reports, once a round.
    pub fn report(&mut self, now: UnixMillis, demands: &[LocalDemand]) -> Vec<OutgoingDatagram> {
        let round = round_at(now);
        self.record_demands(now, demands);
        if self.last_report_round.replace(round) == Some(round) {
            return Vec::new();
        }
        let loads = self.local_loads();
        let has_recent_sums = self.received.as_ref().is_some_and(|received| received.round + 2 >= round);
        let mut datagrams = Vec::new();
        for to in self.aggregators.select(round, self.own_number, has_recent_sums) {
            if to == self.own_number {
                self.collecting.entry(round).or_default().add(self.own_number, &loads);
                continue;
            }
            let report = GossipMessage {
                kind: MessageKind::Report,
                round: round as u32,
                senders: 1,
                loads: loads.clone(),
            };
            datagrams.push(OutgoingDatagram { to, bytes: report.encode() });
        }
        datagrams
    }

    /// Updates the history of each listed limit, and removes those of others.
    fn record_demands(&mut self, now: UnixMillis, demands: &[LocalDemand]) {
        for demand in demands {
            let history =
                self.local.entry(demand.limit_id).or_insert_with(|| DemandHistory::new(round_at(now)));
            history.record(now, demand);
        }
        let is_listed = |limit_id: &LimitId| demands.iter().any(|demand| demand.limit_id == *limit_id);
        self.local.retain(|limit_id, _| is_listed(limit_id));
        self.estimates.retain(|limit_id, _| is_listed(limit_id));
    }

    fn local_loads(&self) -> Vec<LimitLoad> {
        let loads =
            self.local.iter().map(|(&limit_id, history)| LimitLoad { limit_id, load: history.load() });
        loads.filter(|entry| !is_zero_when_encoded(&entry.load)).collect()
    }

    /// Handles a datagram of another sender.
    ///
    /// # Errors
    ///
    /// [`GossipError`] is why the datagram was dropped. Sums that do not supersede the stored ones are dropped, too, but
    /// prove that their sender is alive.
    pub fn receive(&mut self, now: UnixMillis, from: usize, datagram: &[u8]) -> Result<(), GossipError> {
        if from == self.own_number || from >= self.senders {
            return Err(GossipError::UnknownSender);
        }
        let message = GossipMessage::decode(datagram)?;
        let current_round = round_at(now);
        let round = nearest_round(message.round, current_round).ok_or(GossipError::Round)?;
        match message.kind {
            MessageKind::Report => self.receive_report(current_round, round, from, &message.loads),
            MessageKind::Sums { sample_bits } => {
                if round > current_round || round + MAX_SUMS_AGE < current_round {
                    return Err(GossipError::Round);
                }
                self.aggregators.record_alive(from);
                let included = self.liveness.observe(round, sample_bits);
                self.store_sums(ReceivedSums::new(round, included, message))
            }
        }
    }

    /// Accepts reports of the current and the next round, as clocks differ by less than a round, and of an earlier one until
    /// its sums are sent.
    fn receive_report(
        &mut self,
        current_round: u64,
        round: u64,
        from: usize,
        loads: &[LimitLoad],
    ) -> Result<(), GossipError> {
        let is_near = round == current_round || round == current_round + 1;
        let is_open = is_near || self.collecting.contains_key(&round);
        if !is_open || !self.collecting.entry(round).or_default().add(from, loads) {
            return Err(GossipError::Round);
        }
        self.aggregators.record_alive(from);
        Ok(())
    }

    /// Replaces the stored sums if these supersede them.
    fn store_sums(&mut self, sums: ReceivedSums) -> Result<(), GossipError> {
        if self.received.as_ref().is_some_and(|received| !sums.supersedes(received)) {
            return Err(GossipError::Round);
        }
        self.received = Some(sums);
        Ok(())
    }

    /// The sums of the rounds that are over, addressed to each reporter.
    pub fn sums(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        while let Some(entry) =
            self.collecting.first_entry().filter(|entry| round_start(entry.key() + 1) <= now)
        {
            let (round, totals) = entry.remove_entry();
            datagrams.extend(self.sums_of_round(round, totals));
        }
        datagrams
    }

    fn sums_of_round(&mut self, round: u64, totals: RoundTotals) -> Vec<OutgoingDatagram> {
        let RoundTotals { senders, loads } = totals;
        let sample_bits = self.liveness.sample_bits(&senders);
        let loads = loads.into_iter().map(|(limit_id, load)| LimitLoad { limit_id, load });
        let sums = GossipMessage {
            kind: MessageKind::Sums { sample_bits },
            round: round as u32,
            senders: u16::try_from(senders.len()).unwrap_or(u16::MAX),
            loads: loads.filter(|entry| self.is_relevant(entry)).collect(),
        };
        let bytes = sums.encode();
        if senders.contains(&self.own_number) {
            self.apply_own_sums(round, sample_bits, &bytes);
        }
        let others = senders.into_iter().filter(|sender| *sender != self.own_number);
        others.map(|to| OutgoingDatagram { to, bytes: bytes.clone() }).collect()
    }

    /// Whether a limit is included in sums; one that is unknown here is, as it may be nearly reached.
    fn is_relevant(&self, entry: &LimitLoad) -> bool {
        let Load { demand, calls, rejected, failed } = entry.load;
        let limit = self.local.get(&entry.limit_id).map_or(0.0, |history| history.limit);
        rejected + failed != 0.0 || demand.max(calls) > NEAR_LIMIT_FRACTION * limit
    }

    /// Stores this sender's own sums in the precision in which others receive them.
    fn apply_own_sums(&mut self, round: u64, sample_bits: u64, bytes: &[u8]) {
        if let Ok(message) = GossipMessage::decode(bytes) {
            let included = self.liveness.observe(round, sample_bits);
            // The sums of another aggregator may include more senders.
            let _ = self.store_sums(ReceivedSums::new(round, included, message));
        }
    }
}

#[cfg(test)]
mod tests;
