//! Tests the exchange among many senders: the capacity despite message loss and stopped senders, bounds on memory, and
//! malformed sums.

use super::aggregator_selection::MAX_AGGREGATORS;
use super::limit_capacity::LimitCapacity;
use super::liveness::MAX_HISTORY;
use super::local_demand::LocalDemand;
use super::{DemandExchange, MAX_SUMS_AGE, ROUND, round_start};
use crate::limit_estimate::RecoveryRamp;
use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load};
use crate::message::{GossipMessage, MAX_LIMITS, MessageKind};
use crate::outgoing_datagram::OutgoingDatagram;

const LIMIT: f64 = 60.0;
const SENDER_COUNT: usize = 120;
const RAMP: RecoveryRamp = RecoveryRamp { initial_fraction: 0.3, growth_per_s: 0.1 };

fn local_demand(limit_id: LimitId, demand: f64) -> LocalDemand {
    LocalDemand { limit_id, limit: LIMIT, demand, calls: 0, rejected: 0, failed: 0 }
}

/// All senders may start at the same time, so each is assumed to have one call in demand until the first sums that may
/// include the limit are due. If no sums are received by then, there is no shared capacity.
#[test]
fn a_new_limit_is_shared_equally_until_its_first_sums_are_due() {
    let limit_id = LimitId::of(7, None);
    let mut exchange = DemandExchange::new(0, 300, RAMP);
    let start = round_start(8);
    exchange.report(start, &[local_demand(limit_id, 1.0)]);
    assert_eq!(exchange.capacities(start), Some(vec![LimitCapacity { limit_id, rate_per_demand: 0.2 }]));
    assert_eq!(exchange.capacities(start + (MAX_SUMS_AGE + 1) * ROUND), None);
}

/// Runs rounds of many senders that each have one call in demand at a limit of [`LIMIT`]; a datagram between running
/// senders is delivered if `is_delivered()`. Returns the mean rate per call in demand of the running senders for each
/// round.
fn mean_rates(
    exchanges: &mut [DemandExchange],
    rounds: std::ops::Range<u64>,
    is_running: impl Fn(usize) -> bool,
    mut is_delivered: impl FnMut() -> bool,
) -> Vec<f64> {
    let demands = [local_demand(LimitId::of(7, None), 1.0)];
    let mut means = Vec::new();
    for round in rounds {
        let start = round_start(round);
        for (now, is_round_end) in [(start + 100, false), (start + ROUND, true)] {
            let mut in_flight = Vec::new();
            for (from, exchange) in exchanges.iter_mut().enumerate().filter(|(sender, _)| is_running(*sender))
            {
                let datagrams =
                    if is_round_end { exchange.sums(now) } else { exchange.report(now, &demands) };
                in_flight.extend(datagrams.into_iter().map(|datagram| (from, datagram)));
            }
            for (from, OutgoingDatagram { to, bytes }) in in_flight {
                if is_running(to) && is_delivered() {
                    // Sums that do not supersede those of another aggregator are dropped.
                    let _ = exchanges[to].receive(now, from, &bytes);
                }
            }
        }
        let running = exchanges.iter_mut().enumerate().filter(|(sender, _)| is_running(*sender));
        let rate = |exchange: &mut DemandExchange| {
            Some(exchange.capacities(start + ROUND)?.first()?.rate_per_demand)
        };
        let rates: Vec<f64> = running.filter_map(|(_, exchange)| rate(exchange)).collect();
        means.push(rates.iter().sum::<f64>() / rates.len().max(1) as f64);
    }
    means
}

fn exchanges() -> Vec<DemandExchange> {
    (0..SENDER_COUNT).map(|sender| DemandExchange::new(sender, SENDER_COUNT, RAMP)).collect()
}

/// Half of the datagrams are lost. Without extrapolation, sums of half of the senders would result in twice the rate
/// for each call.
#[test]
fn sums_of_some_senders_are_extrapolated_to_all_live_senders() {
    let mut seed = 1u32;
    let is_delivered = || {
        seed = crc32fast::hash(&seed.to_le_bytes());
        seed & 1 == 0
    };
    let means = mean_rates(&mut exchanges(), 10..60, |_| true, is_delivered);
    let late_mean = means[20..].iter().sum::<f64>() / 30.0;
    let fair = LIMIT * 0.95 / SENDER_COUNT as f64;
    assert!(
        (0.8 * fair..1.25 * fair).contains(&late_mean),
        "rate per call {late_mean}, expected about {fair}"
    );
}

/// Without message loss, a sender that is missing in two consecutive sums counts as down, and the others receive its
/// capacity.
#[test]
fn the_shares_of_stopped_senders_are_reassigned_within_a_second() {
    let mut exchanges = exchanges();
    mean_rates(&mut exchanges, 10..40, |_| true, || true);
    let means = mean_rates(&mut exchanges, 40..46, |sender| sender % 10 < 3, || true);
    let fair = LIMIT * 0.95 / (SENDER_COUNT as f64 * 0.3);
    assert!(
        means[3..].iter().all(|mean| *mean > 0.9 * fair),
        "rates per call {means:?}, expected about {fair}"
    );
}

/// For 25 minutes the limits and the reporting senders change, and some senders send false limits and rounds.
#[test]
fn over_a_long_run_no_table_grows_beyond_its_bound() {
    let mut exchange = DemandExchange::new(0, SENDER_COUNT, RAMP);
    for round in 1_000..7_000u64 {
        let limit_id = |n: u64| LimitId::of((round / 50 * 7 + n) as u16, None);
        let demand = |n| LocalDemand { calls: round, ..local_demand(limit_id(n), 1.0) };
        exchange.report(round_start(round), &(0..20).map(demand).collect::<Vec<_>>());
        for from in (round as usize % 40..SENDER_COUNT).step_by(7) {
            // Messages of past and future rounds are dropped.
            let _ = exchange.receive(round_start(round) + 100, from, &false_message(round, from).encode());
        }
        exchange.capacities(round_start(round) + 200);
        assert_bounds(&exchange);
        exchange.sums(round_start(round + 1));
    }
    // Without messages of other senders the tables become empty.
    for round in 7_000..7_100 {
        exchange.report(round_start(round), &[]);
        exchange.sums(round_start(round + 1));
    }
    assert!(
        exchange.local_demand.is_empty() && exchange.estimates.is_empty() && exchange.open_rounds.is_empty()
    );
    assert_eq!(exchange.capacities(round_start(7_100)), None);
}

/// A message with limits that do not exist, for a round near `round`.
fn false_message(round: u64, from: usize) -> GossipMessage {
    let load = Load { demand: 9.0, calls: 9.0, rejected: 9.0, failed: 9.0 };
    let limit_id = |n: u64| LimitId::of((round * 31 + n + from as u64) as u16, Some("liar"));
    let sums = MessageKind::Sums { sample_bits: round << (from % 60) };
    GossipMessage {
        kind: if from.is_multiple_of(2) { sums } else { MessageKind::Report },
        round: (round + from as u64 % 4 - 2) as u32,
        sender_count: 9,
        loads: (0..40).map(|n| LimitLoad { limit_id: limit_id(n), load }).collect(),
    }
}

fn assert_bounds(exchange: &DemandExchange) {
    assert!(
        exchange.local_demand.len() <= 20
            && exchange.estimates.len() <= 20
            && exchange.capacities.len() <= 20
    );
    assert!(exchange.local_demand.values().all(|history| history.entry_count() <= 6));
    let unresponsive = exchange.aggregators.unresponsive_count();
    let selected = exchange.aggregators.selected_count();
    assert!(exchange.open_rounds.len() <= 3 && unresponsive < SENDER_COUNT && selected <= MAX_AGGREGATORS);
    assert!(exchange.open_rounds.values().all(|totals| {
        totals.reporters.len() <= SENDER_COUNT && totals.loads.len() <= SENDER_COUNT * MAX_LIMITS
    }));
    assert!(exchange.liveness.observation_count() <= MAX_HISTORY);
}

/// If the bits of nonexistent senders counted, most of the fleet would appear to be missing in the next sums.
#[test]
fn sample_bits_that_belong_to_no_sender_are_ignored() {
    let mut exchange = DemandExchange::new(0, 3, RAMP);
    let limit_id = LimitId::of(7, None);
    let load = Load { demand: 60.0, ..Load::default() };
    for round in 10..12u64 {
        exchange.report(round_start(round), &[local_demand(limit_id, 20.0)]);
        let sums = GossipMessage {
            kind: MessageKind::Sums { sample_bits: if round == 10 { u64::MAX } else { 0b111 } },
            round: round as u32,
            sender_count: 3,
            loads: vec![LimitLoad { limit_id, load }],
        };
        exchange.receive(round_start(round + 1), 1, &sums.encode()).expect("the sums are accepted");
    }
    let capacities = exchange.capacities(round_start(12)).expect("sums were received");
    assert!(capacities.iter().all(|capacity| capacity.rate_per_demand > 0.9), "{capacities:?}");
}
