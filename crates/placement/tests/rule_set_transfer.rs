//! Transfer of rule sets: 300 senders with lost datagrams, the largest rule set, damaged parts, and arbitrary bytes.
mod large_fleet;
mod simulation;

use std::collections::BTreeSet;

use proptest::prelude::{any, prop, prop_assert, proptest};
use rudderspindle_clock::UnixMillis;
use rudderspindle_placement::{PlacementEvent, RuleSet, SenderId, TenantRule, ZoneAccess, ZoneList, ZoneSet};

use large_fleet::Fleet;
use simulation::{LEASE_MS, PART, START_MS, Simulation, at, fixed_seed_config, key, rules, tenant};

/// The leases and the datagram rate of a fleet, as means over 60 s.
struct LeaseCoverage {
    /// Mean fraction of the senders that have a lease, from 0 to 1.
    leased_fraction: f64,
    /// Mean number of datagrams that a sender sends, per second.
    send_rate: f64,
}

/// Measures 300 senders for 60 s while a fifth of the datagrams is lost.
fn lease_coverage(aggregators_per_round: u8) -> LeaseCoverage {
    let mut fleet = Fleet::new(300, aggregators_per_round, 20, 5_000);
    let first_lease_ms = fleet.step_until_all(|sender| sender.lease_expires_at() > UnixMillis::EPOCH);
    assert!(first_lease_ms < 15_000, "all senders had a lease only after {first_lease_ms} ms");
    let (mut acting_count, sent_before) = (0, fleet.sent_count);
    for _ in 0..600 {
        fleet.step();
        acting_count += fleet.acting_count();
    }
    LeaseCoverage {
        leased_fraction: acting_count as f64 / 600.0 / 300.0,
        send_rate: (fleet.sent_count - sent_before) as f64 / 60.0 / 300.0,
    }
}

/// The fleet has 300 senders and one or two aggregators in each round; a fifth of all datagrams is lost.
#[test]
fn lost_datagrams_rarely_prevent_the_renewal_of_leases() {
    for (aggregators, min_leased_fraction, max_send_rate) in [(1, 0.999, 4.1), (2, 0.999_99, 8.1)] {
        let LeaseCoverage { leased_fraction, send_rate } = lease_coverage(aggregators);
        println!(
            "{aggregators} aggregators: leased {leased_fraction:.6}, {send_rate:.2} datagrams per second and sender"
        );
        assert!(
            leased_fraction >= min_leased_fraction && send_rate <= max_send_rate,
            "{leased_fraction} {send_rate}"
        );
    }
}

/// The propagation of a narrower file from one of 300 senders.
struct Propagation {
    /// Time until all senders hold the rule set, in milliseconds.
    held_after_ms: u64,
    /// Time until all senders have committed the rule set and dropped the earlier one, in milliseconds.
    committed_after_ms: u64,
    /// Mean fraction of the senders that may not act for the tenant, over 12 s, from 0 to 1.
    closed_fraction: f64,
}

/// Reloads a narrower file at one sender of a committed fleet, and measures for 12 s.
fn propagate_narrower_file(announce_ms: u64, lost_percent: u64) -> Propagation {
    let mut fleet = Fleet::new(300, 1, lost_percent, announce_ms);
    fleet.step_until_all(|sender| sender.committed_revision() == 1);
    (0..30).for_each(|_| fleet.step());
    let start_ms = fleet.now_ms;
    fleet.senders[17].reload(at(start_ms), rules(2, &["hall-a"])).unwrap();
    let (mut held_after_ms, mut committed_after_ms, mut closed_count) = (0, 0, 0);
    while fleet.now_ms < start_ms + 12_000 {
        fleet.step();
        closed_count += 300 - fleet.acting_count();
        if !fleet.senders.iter().all(|sender| sender.rule_sets().any(|id| id.revision == 2)) {
            held_after_ms = fleet.now_ms - start_ms;
        }
        if !fleet
            .senders
            .iter()
            .all(|sender| sender.committed_revision() == 2 && sender.rule_sets().count() == 1)
        {
            committed_after_ms = fleet.now_ms - start_ms;
        }
    }
    Propagation { held_after_ms, committed_after_ms, closed_fraction: closed_count as f64 / 120.0 / 300.0 }
}

/// One of 300 senders reloads a narrower file; the rule set is announced for 5 s or acknowledged immediately.
#[test]
fn an_announced_narrower_file_reaches_all_without_loss_of_access() {
    for (announce_ms, lost_percent, max_closed_fraction) in
        [(5_000, 0, 0.0), (5_000, 20, 0.002), (0, 0, 1.0), (0, 20, 1.0)]
    {
        let Propagation { held_after_ms, committed_after_ms, closed_fraction } =
            propagate_narrower_file(announce_ms, lost_percent);
        let measured = format!(
            "held after {held_after_ms} ms, committed after {committed_after_ms} ms, closed {closed_fraction:.4}"
        );
        println!("announced for {announce_ms} ms, {lost_percent}% lost: {measured}");
        assert!(
            held_after_ms < 8_000 && committed_after_ms < 11_000 && closed_fraction <= max_closed_fraction,
            "{measured}"
        );
        assert!(
            announce_ms > 0 || closed_fraction > 0.02,
            "without an announcement, senders that lack the rule set must lose access"
        );
    }
}

/// A rule set with the maximum number of tenants.
fn largest_rule_set(revision: u64) -> RuleSet {
    let names: Vec<String> = (0..256).map(|number| format!("tenant-{number}")).collect();
    let rules: Vec<TenantRule> =
        names.iter().map(|name| TenantRule { tenant: name, zones: &["hall-a"] }).collect();
    let zones = ZoneList::new(&["hall-a", "hall-b"]).unwrap();
    RuleSet::new(revision, &rules, &zones, &names.iter().map(String::as_str).collect(), &key()).unwrap()
}

/// One part of the largest rule set is damaged on its way.
#[test]
fn a_damaged_part_is_an_event_and_the_rule_set_is_requested_again() {
    let mut simulation = Simulation::committed(3, &rules(1, &["hall-a"]));
    simulation.reload(0, largest_rule_set(2));
    let (mut part_count, mut invalid_count) = (0, 0);
    while simulation.now_ms < START_MS + 20_000 {
        for (from, mut datagram) in simulation.tick() {
            if datagram.body[0] == PART {
                part_count += 1;
                let last = datagram.body.len() - 1;
                datagram.body[last] ^= u8::from(part_count == 5);
            }
            simulation.deliver_and_observe(from, &datagram, |event| {
                invalid_count += usize::from(matches!(event, PlacementEvent::InvalidRuleSet { .. }));
            });
        }
        simulation.advance();
    }
    assert_eq!(invalid_count, 1);
    assert!(part_count >= 2 * 15, "{part_count} parts");
    for index in 0..simulation.nodes.len() {
        let process = simulation.process(index);
        assert_eq!(process.committed_revision(), 2);
        let access = process.zone_access(simulation.now(), key().tenant_id("tenant-255"));
        assert_eq!(access, ZoneAccess::Zones(ZoneSet(1)));
    }
}

#[test]
fn the_largest_rule_set_reaches_300_senders_in_bounded_time() {
    for (lost_percent, max_ms) in [(0, 25_000), (20, 35_000)] {
        let mut fleet = Fleet::new(300, 1, lost_percent, 30_000);
        fleet.step_until_all(|sender| sender.committed_revision() == 1);
        let (now, sent_before) = (fleet.now(), fleet.sent_count);
        fleet.senders[17].reload(now, largest_rule_set(2)).unwrap();
        let duration_ms = fleet.step_until_all(|sender| sender.rule_sets().any(|id| id.revision == 2));
        let send_rate = (fleet.sent_count - sent_before) as f64 / 0.3 / duration_ms as f64;
        println!(
            "256 tenants, {lost_percent}% lost: {duration_ms} ms, {send_rate:.1} datagrams per second and sender"
        );
        assert!(duration_ms <= max_ms && send_rate < 8.0, "{duration_ms} ms, {send_rate}");
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(256))]

    #[test]
    fn arbitrary_bytes_from_a_peer_cause_neither_panic_nor_access(
        received in prop::collection::vec((0..4u16, prop::collection::vec(any::<u8>(), 0..260)), 1..60),
        flip_index in any::<prop::sample::Index>(),
        flip_mask in 1..=255u8,
    ) {
        let mut simulation = Simulation::committed(3, &rules(1, &["hall-a"]));
        let valid = simulation.tick();
        let now = simulation.now();
        for index in 0..3 {
            let process = simulation.process_mut(index);
            let before = process.lease_expires_at();
            for (from, bytes) in &received {
                let from = SenderId(*from);
                let mut known_kind = bytes.clone();
                if let Some(first) = known_kind.first_mut() {
                    *first %= 4;
                }
                let _ = (process.receive(now, from, bytes), process.receive(now, from, &known_kind));
            }
            for (from, datagram) in &valid {
                let mut bytes = datagram.body.clone();
                let position = flip_index.index(bytes.len());
                bytes[position] ^= flip_mask;
                let _ = process.receive(now, SenderId(*from as u16), &bytes);
            }
            prop_assert!(process.lease_expires_at() <= before.max(at(now.0 + LEASE_MS)));
            let access = process.zone_access(now, tenant());
            prop_assert!(matches!(access, ZoneAccess::Zones(ZoneSet(1)) | ZoneAccess::Closed(_)), "{access:?}");
            let datagrams: BTreeSet<_> = process.poll_datagrams(now).into_iter().collect();
            prop_assert!(datagrams.len() < 20);
        }
    }
}
