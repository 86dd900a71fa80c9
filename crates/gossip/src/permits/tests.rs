//! Tests the permit protocol in simulated clusters: how much of the limit is used, the bound on calls despite faults, and
//! the bounds on memory.

mod cluster;
mod rejections;

use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};
use rudderspindle_clock::UnixMillis;

use super::holding::PermitHolding;
use super::message::{
    MAX_LIMITS, PermitGrant, PermitGrantEntry, PermitMessage, PermitOffer, PermitOfferEntry,
};
use super::rounds::{ROUND, round_at, round_start};
use super::schedule::PermitSchedule;
use super::{PermitError, PermitLedger};
use crate::demand_exchange::LocalDemand;
use crate::envelope::{Kind, seal};
use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use cluster::{Cluster, InFlight, NetworkFaults, START};

const DELAYS: NetworkFaults = NetworkFaults { loss_rate: 0.0, duplication_rate: 0.0, max_delay: 30.0 };

#[test]
fn many_senders_with_rare_demand_use_the_whole_limit() {
    let mut cluster = Cluster::new(3, 300, 75.0, DELAYS);
    cluster.run(5_000, 67.0);
    let queued_before = cluster.queued.iter().sum::<u32>();
    let calls = cluster.run(30_000, 67.0);
    let queued_after = cluster.queued.iter().sum::<u32>();
    // As many calls start as arrive, and the queues contain no more than the calls of about a second.
    assert!(calls as f64 >= 0.97 * 67.0 * 30.0, "{calls} calls, queued {queued_before} to {queued_after}");
    assert!(queued_after < 100, "{queued_after} queued");
}

/// Two seconds after its demand begins, the sender starts nine tenths of the calls for which permits are issued.
#[test]
fn a_sender_with_all_the_demand_receives_most_of_the_limit() {
    let mut cluster = Cluster::new(5, 12, 60.0, DELAYS);
    cluster.run(4_000, 0.0);
    cluster.queued[4] = 10_000;
    cluster.run(2_000, 0.0);
    let calls = cluster.run(10_000, 0.0);
    assert!(calls as f64 >= 0.9 * 57.0 * 10.0, "{calls} calls in ten seconds");
}

#[test]
fn partitions_observe_the_bound_and_share_the_limit_once_healed() {
    let mut cluster = Cluster::new(9, 12, 60.0, DELAYS);
    cluster.run(4_000, 90.0);
    // Each of the first six senders is alone in its partition, and the other six are in one.
    cluster.partition = (0..12).map(|sender| if sender < 6 { sender + 1 } else { 0 }).collect();
    let calls_while_partitioned = cluster.run(12_000, 90.0);
    assert!(
        calls_while_partitioned as f64 >= 0.9 * 57.0 * 12.0,
        "{calls_while_partitioned} calls while half of the senders were isolated"
    );
    cluster.partition = vec![0; 12];
    cluster.queued = vec![0; 12];
    cluster.run(3_000, 0.0);
    cluster.queued[2] = 10_000;
    cluster.run(3_000, 0.0);
    let calls = cluster.run(5_000, 0.0);
    assert!(
        calls as f64 >= 0.85 * 57.0 * 5.0,
        "{calls} calls of one sender in five seconds after the partition"
    );
    assert!(cluster.max_calls_within(1_000) as f64 <= cluster.allowed_calls_within(1_000, 0));
}

#[test]
fn a_grant_of_another_sender_process_or_round_is_rejected() {
    let mut ledger = PermitLedger::new(0, 3, Incarnation(7), START);
    let limit_id = LimitId::of(7, None);
    let demands = [LocalDemand { limit_id, limit: 60.0, demand: 30.0, calls: 0, rejected: 0, failed: 0 }];
    let round_starts = (0..).map(|n| START + n * ROUND);
    let allocator = round_starts
        .map(|round_start| ledger.offer(round_start + 300, &demands))
        .find_map(|offer| Some(offer?.to));
    let allocator = allocator.expect("an offer is sent");
    let round = ledger.last_offer_round;
    let entry = PermitGrantEntry {
        limit_id: limit_id.0,
        schedule_checksum: PermitSchedule::new(limit_id, 60.0, 3).checksum(),
        number_deltas: vec![1, 1, 1],
    };
    let grant = |incarnation, round| {
        let incarnation = Incarnation(incarnation);
        let grant = PermitGrant { round, incarnation, candidates_alive: 7, entries: vec![entry.clone()] };
        PermitMessage::PermitGrant(grant).encode().expect("the message fits")
    };
    let now = round_start(round) + 450;
    let permit_count = |ledger: &PermitLedger| ledger.permits(now, limit_id, 1.0).len();
    let own_count = permit_count(&ledger);
    assert_eq!(ledger.receive(now, 3 - allocator, &grant(7, round)), Err(PermitError::Unexpected));
    assert_eq!(ledger.receive(now, allocator, &grant(6, round)), Err(PermitError::Unexpected));
    assert_eq!(ledger.receive(now, allocator, &grant(7, round - 1)), Err(PermitError::Unexpected));
    assert_eq!(permit_count(&ledger), own_count);
    assert_eq!(ledger.receive(now, allocator, &grant(7, round)), Ok(true));
    // Of three consecutive permits, the ledger's sender owns one.
    assert_eq!(permit_count(&ledger), own_count + 2);
    // A duplicate grant has no effect.
    assert_eq!(ledger.receive(now, allocator, &grant(7, round)), Ok(true));
    assert_eq!(permit_count(&ledger), own_count + 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Datagrams, processes and clocks have random faults. [`Cluster`] asserts that no permit is used twice.
    #[test]
    fn no_permit_is_used_by_two_processes_and_the_bound_holds(
        seed: u64,
        sender_count in 2usize..14,
        limit in 0.5f64..200.0,
        loss_rate in 0.0f64..1.0,
        max_delay in 0.0f64..900.0,
        clock_skew in 0i64..200,
    ) {
        let faults = NetworkFaults { loss_rate, duplication_rate: 0.3, max_delay };
        let mut cluster = Cluster::new(seed, sender_count, limit, faults);
        for sender in 0..sender_count {
            cluster.clock_offset[sender] = (cluster.rng.unit() * clock_skew as f64) as i64;
            cluster.restart(sender);
        }
        let mut recorded_datagrams: Vec<InFlight> = Vec::new();
        for _ in 0..60 {
            cluster.run(200, limit * 1.4);
            let sender = cluster.rng.below(sender_count);
            match cluster.rng.below(6) {
                0 => cluster.restart(sender),
                1 => cluster.running[sender] = false,
                2 => cluster.running[sender] = true,
                3 => cluster.partition[sender] = cluster.rng.below(2),
                4 => recorded_datagrams.extend(cluster.in_flight.iter().cloned()),
                _ => {
                    let arrives_at = cluster.now + 1;
                    let replayed = recorded_datagrams.drain(..).map(|datagram| InFlight { arrives_at, ..datagram });
                    cluster.in_flight.extend(replayed);
                }
            }
        }
        let max_calls = cluster.max_calls_within(1_000);
        let bound = cluster.allowed_calls_within(1_000, clock_skew as u64);
        prop_assert!(max_calls as f64 <= bound, "{max_calls} calls in a second, allowed {bound}");
    }

    #[test]
    fn a_malformed_datagram_changes_nothing(bytes: Vec<u8>) {
        let mut ledger = PermitLedger::new(0, 3, Incarnation(7), START);
        if let Err(error) = PermitMessage::decode(&bytes) {
            prop_assert_eq!(ledger.receive(START + 700, 1, &bytes), Err(PermitError::Envelope(error)));
        }
        // The same bytes as the body of a valid envelope.
        let datagram = seal(Kind::PermitGrant, &bytes).unwrap_or_default();
        let _ = ledger.receive(START + 700, 1, &datagram);
        prop_assert!(ledger.allocator.offer_count() <= 1);
    }
}

/// For half an hour the limits change, and faulty peers send limits that do not exist.
#[test]
fn over_a_long_run_no_table_grows_beyond_its_bound() {
    let mut ledger = PermitLedger::new(0, 9, Incarnation(7), START);
    for round in 1..3_600u64 {
        let now = START + round * ROUND + 200;
        let demand = |n| LocalDemand {
            limit_id: LimitId::of((round / 40 * 3 + n) as u16, None),
            limit: 30.0,
            demand: 20.0,
            calls: 0,
            rejected: 0,
            failed: 0,
        };
        let demands: Vec<LocalDemand> = (0..20).map(demand).collect();
        let own_offer = ledger.offer(now, &demands);
        for from in 1..9 {
            let _ = ledger.receive(now, from, &excessive_offer(now, from));
        }
        if let Some(offer) = own_offer {
            ledger
                .receive(now, offer.to, &malformed_grant(now, &demands))
                .expect("the grant is from the allocator");
        }
        assert!(
            ledger.holdings.len() <= 20
                && ledger.allocators.len() <= 4
                && ledger.allocator.offer_count() <= 16
        );
        assert!(
            ledger.holdings.values().all(|holding| holding.entry_count() <= 30),
            "{:?}",
            ledger.holdings.values().map(PermitHolding::entry_count)
        );
        ledger.allocate(now + ROUND);
    }
}

/// An offer with the maximum number of limits, for a round near the current one.
fn excessive_offer(now: UnixMillis, from: usize) -> Vec<u8> {
    let entry = |n: u32| PermitOfferEntry {
        limit_id: n,
        schedule_checksum: 3,
        released: u16::MAX,
        requested: u8::MAX,
    };
    let entries = (0..MAX_LIMITS as u32).map(entry).collect();
    let round = round_at(now).wrapping_add(from as u64 % 3);
    let offer = PermitMessage::PermitOffer(PermitOffer { round, incarnation: Incarnation(1), entries });
    offer.encode().expect("the message fits")
}

/// A grant in which some permit numbers are not ascending and some are outside the round's term.
fn malformed_grant(now: UnixMillis, demands: &[LocalDemand]) -> Vec<u8> {
    let entry = |demand: &LocalDemand| PermitGrantEntry {
        limit_id: demand.limit_id.0,
        schedule_checksum: PermitSchedule::new(demand.limit_id, 30.0, 9).checksum(),
        number_deltas: vec![0, 1, 2, u16::MAX, 1],
    };
    let entries = demands.iter().take(12).map(entry).collect();
    let round = round_at(now);
    let grant = PermitGrant { round, incarnation: Incarnation(7), candidates_alive: u64::MAX, entries };
    PermitMessage::PermitGrant(grant).encode().expect("the message fits")
}
