//! The conditions under which a sender has a lease, votes, and may act for a ruled tenant.
mod simulation;

use std::collections::BTreeSet;

use rudderspindle_placement::{
    AdmissionRejected, ClosedReason, GossipError, Incarnation, OutgoingDatagram, Placement, PlacementEvent,
    ReloadError, RuleSet, SenderId, StartError, StateRecord, ZoneAccess, ZoneList, ZoneSet,
};
use simulation::{
    HEARTBEAT, LEASE_MS, PART, START_MS, SUMMARY, Simulation, at, key, rules, settings, tenant,
};

const FIRST_ZONE: ZoneSet = ZoneSet(1);

/// Runs the simulation for `duration_ms`; a datagram is delivered if `is_connected(from, to)`.
fn run(simulation: &mut Simulation, duration_ms: u64, is_connected: impl Fn(usize, usize) -> bool) {
    let until_ms = simulation.now_ms + duration_ms;
    while simulation.now_ms < until_ms {
        for (from, datagram) in simulation.tick() {
            if is_connected(from, usize::from(datagram.to.0)) {
                simulation.deliver(from, &datagram);
            }
        }
        simulation.advance();
    }
}

fn acting_senders(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.nodes.len()).filter(|&index| simulation.acting_zones(index) != ZoneSet::EMPTY).collect()
}

fn start_without_record(own_id: u16, sender_count: u16, revision: u64, zones: &[&str]) -> Placement {
    let file = Some(rules(revision, zones));
    Placement::new(settings(own_id, sender_count), file, None, Incarnation(1), at(START_MS)).unwrap()
}

/// Four senders: equal halves are partitioned first, and then one sender from the other three.
#[test]
fn a_partition_stops_all_but_a_majority_for_ruled_tenants() {
    let mut simulation = Simulation::committed(4, &rules(1, &["hall-a"]));
    assert_eq!(acting_senders(&simulation), [0, 1, 2, 3]);
    run(&mut simulation, LEASE_MS + 500, |from, to| from % 2 == to % 2);
    assert_eq!(acting_senders(&simulation), []);
    let process = simulation.process(0);
    assert_eq!(process.zone_access(simulation.now(), tenant()), ZoneAccess::Closed(ClosedReason::NoLease));
    assert_eq!(process.zone_access(simulation.now(), key().tenant_id("tapi-news")), ZoneAccess::Unrestricted);
    let rejected = Err(AdmissionRejected { reason: ClosedReason::NoLease, retry_after_ms: 500 });
    assert_eq!(process.check_admission(simulation.now(), tenant()), rejected);

    run(&mut simulation, LEASE_MS, |_, _| true);
    run(&mut simulation, LEASE_MS + 500, |from, to| (from == 3) == (to == 3));
    assert_eq!(acting_senders(&simulation), [0, 1, 2]);
    let admission_in_excluded_zone = simulation.process(1).check_admission(simulation.now(), tenant());
    assert_eq!(
        admission_in_excluded_zone,
        Err(AdmissionRejected { reason: ClosedReason::OwnZoneExcluded, retry_after_ms: LEASE_MS })
    );
}

#[test]
fn a_new_fleet_acts_once_all_have_run_and_none_at_its_own_start() {
    let file = rules(1, &["hall-a"]);
    let mut simulation = Simulation::committed(5, &file);
    (0..5).for_each(|index| simulation.kill(index, true));
    (0..4).for_each(|index| simulation.restart(index, &file));
    run(&mut simulation, 3 * LEASE_MS, |_, _| true);
    assert_eq!(
        acting_senders(&simulation),
        [],
        "the four may be senders of an old fleet that lost their records"
    );
    simulation.restart(4, &file);
    run(&mut simulation, 2 * LEASE_MS, |_, _| true);
    assert_eq!(acting_senders(&simulation), [0, 1, 2, 3, 4]);
    simulation.kill(0, false);
    simulation.restart(0, &file);
    assert_eq!(acting_senders(&simulation), [1, 2, 3, 4]);
}

/// A sender is killed and restarted without its record within a round, and receives that round's summary.
#[test]
fn a_summary_of_a_round_before_the_restart_does_not_cause_recovery() {
    let mut simulation = Simulation::committed(3, &rules(1, &["hall-a"]));
    let is_voting = |simulation: &Simulation| {
        let snapshot = simulation.process(0).snapshot();
        StateRecord::decode(&snapshot.bytes, &key()).unwrap().is_voting()
    };
    simulation.now_ms += 100;
    simulation.tick_and_deliver();
    simulation.now_ms += 1;
    simulation.kill(0, true);
    simulation.restart(0, &rules(1, &["hall-a"]));
    simulation.advance();
    let summaries = simulation.tick();
    assert!(summaries.iter().any(|(_, summary)| summary.to == SenderId(0)));
    for (from, summary) in &summaries {
        simulation.deliver(*from, summary);
    }
    assert!(!is_voting(&simulation));
    simulation.advance();
    run(&mut simulation, 500, |_, _| true);
    assert!(is_voting(&simulation));
}

/// The heartbeat of the later incarnation is received before that of the earlier one, in the same round.
#[test]
fn the_heartbeat_of_the_later_incarnation_counts_in_any_order() {
    let mut simulation = Simulation::committed(4, &rules(1, &["hall-a"]));
    let earlier = simulation.tick();
    let is_heartbeat = |(_, datagram): &&(usize, OutgoingDatagram)| datagram.body[0] == HEARTBEAT;
    let aggregator = usize::from(earlier.iter().find(is_heartbeat).unwrap().1.to.0);
    // One of the other senders is restarted without its record, one applies the summary, and one is down.
    let [restarted, peer, down] = [1, 2, 3].map(|offset| (aggregator + offset) % 4);
    simulation.kill(down, false);
    simulation.kill(restarted, true);
    simulation.restart(restarted, &rules(1, &["hall-a"]));
    let later = simulation.tick();
    let before = simulation.process(peer).lease_expires_at();
    for (from, datagram) in later.iter().chain(&earlier).filter(|(from, _)| *from == restarted) {
        simulation.deliver(*from, datagram);
    }
    simulation.advance();
    let summaries = simulation.tick();
    assert!(summaries.iter().any(|(from, summary)| *from == aggregator && usize::from(summary.to.0) == peer));
    for (from, summary) in &summaries {
        simulation.deliver(*from, summary);
    }
    assert_eq!(simulation.process(peer).lease_expires_at(), before);
}

/// One of three senders receives summaries with a new revision, but no parts of its rule set.
#[test]
fn a_summary_with_a_missing_rule_set_does_not_renew_the_lease() {
    let mut simulation = Simulation::committed(3, &rules(1, &["hall-a", "hall-b"]));
    simulation.reload(0, rules(2, &["hall-a"]));
    // Sender 2 receives summaries, but no parts of rule sets.
    while simulation.now_ms < START_MS + 2 * LEASE_MS {
        for (from, datagram) in simulation.tick() {
            if datagram.to != SenderId(2) || datagram.body[0] != PART {
                simulation.deliver(from, &datagram);
            }
        }
        simulation.advance();
    }
    assert_eq!(acting_senders(&simulation), [0, 1]);
    run(&mut simulation, LEASE_MS, |_, _| true);
    assert_eq!([0, 1, 2].map(|index| simulation.acting_zones(index)), [FIRST_ZONE; 3]);
}

/// Also a summary that is received from a sender other than its aggregator is rejected.
#[test]
fn a_replayed_or_future_summary_does_not_extend_the_lease() {
    let mut simulation = Simulation::committed(3, &rules(1, &["hall-a"]));
    let mut summaries = Vec::new();
    for _ in 0..4 {
        let datagrams = simulation.tick();
        summaries.extend(datagrams.iter().filter(|(_, datagram)| datagram.body[0] == SUMMARY).cloned());
        for (from, datagram) in &datagrams {
            simulation.deliver(*from, datagram);
        }
        simulation.advance();
    }
    let expiries =
        |simulation: &Simulation| [0, 1, 2].map(|index| simulation.process(index).lease_expires_at());
    let before = expiries(&simulation);
    assert!(summaries.len() >= 4 && before.iter().all(|&expiry| expiry <= at(simulation.now_ms + LEASE_MS)));
    for (from, summary) in &summaries {
        simulation.deliver(*from, summary);
    }
    assert_eq!(expiries(&simulation), before);
    let (from, summary) = summaries.last().unwrap();
    let [to, other] = [1, 2].map(|offset| (from + offset) % 3);
    let (now, other) = (simulation.now(), SenderId(other as u16));
    let received = simulation.process_mut(to).receive(now, other, &summary.body);
    assert_eq!(received, Err(GossipError::UnexpectedSender(other)));

    let mut early = Simulation::committed(3, &rules(1, &["hall-a"]));
    early.now_ms -= 2_000;
    let before = expiries(&early);
    for (from, summary) in &summaries {
        early.deliver(*from, summary);
    }
    assert_eq!(expiries(&early), before);
}

/// A second rule set of the same revision is reloaded twice, and then a third one without a common zone.
#[test]
fn conflicting_rule_sets_allow_common_zones_and_cause_one_event() {
    let mut simulation = Simulation::committed(1, &rules(1, &["hall-a", "hall-b"]));
    simulation.reload(0, rules(2, &["hall-a"]));
    run(&mut simulation, LEASE_MS, |_, _| true);
    let now = simulation.now();
    let process = simulation.process_mut(0);
    let is_conflict = |event: &PlacementEvent| matches!(event, PlacementEvent::ConflictingRevision { .. });
    for _ in 0..2 {
        process.reload(now, rules(2, &["hall-a", "hall-b"])).unwrap();
    }
    assert_eq!(process.take_events().iter().filter(|event| is_conflict(event)).count(), 1);
    assert_eq!(process.zone_access(now, tenant()), ZoneAccess::Zones(FIRST_ZONE));
    process.reload(now, rules(2, &["hall-b"])).unwrap();
    assert_eq!(process.zone_access(now, tenant()), ZoneAccess::Closed(ClosedReason::NoCommonZone));
}

#[test]
fn a_tenant_without_a_new_rule_stays_ruled_until_the_commit() {
    let mut simulation = Simulation::committed(3, &rules(1, &["hall-a"]));
    let zones = ZoneList::new(&["hall-a", "hall-b"]).unwrap();
    let empty = RuleSet::new(2, &[], &zones, &BTreeSet::default(), &key()).unwrap();
    simulation.reload(0, empty);
    assert_eq!(simulation.acting_zones(0), FIRST_ZONE);
    run(&mut simulation, 3 * LEASE_MS, |_, _| true);
    let access = |index: usize| simulation.process(index).zone_access(simulation.now(), tenant());
    assert_eq!([0, 1, 2].map(access), [ZoneAccess::Unrestricted; 3]);
}

#[test]
fn a_lower_revision_is_an_error_at_reload_and_an_event_at_start() {
    let mut process = start_without_record(0, 3, 5, &["hall-a"]);
    let reloaded = process.reload(at(START_MS), rules(4, &["hall-a", "hall-b"]));
    assert_eq!(reloaded, Err(ReloadError::RevisionTooLow { given: 4, held: 5, lowest_valid: 6 }));
    assert_eq!(process.rule_sets().map(|id| id.revision).collect::<Vec<_>>(), [5]);
    let record = StateRecord::decode(&process.snapshot().bytes, &key()).unwrap();
    let file = Some(rules(4, &["hall-b"]));
    let mut next = Placement::new(settings(0, 3), file, Some(record), Incarnation(2), at(START_MS)).unwrap();
    let outdated = PlacementEvent::FileOutdated { file_revision: 4, held_revision: 5 };
    assert!(next.take_events().contains(&outdated));
}

#[test]
fn nothing_is_acknowledged_before_it_is_persisted() {
    let mut process = start_without_record(0, 3, 1, &["hall-a"]);
    assert_eq!(process.poll_datagrams(at(START_MS)), []);
    let snapshot = process.poll_snapshot(at(START_MS)).unwrap();
    process.mark_persisted(snapshot.generation);
    assert_eq!(process.poll_snapshot(at(START_MS)), None);
    let sent_count: usize =
        (0..4).map(|round| process.poll_datagrams(at(START_MS + round * 500)).len()).sum();
    assert!(sent_count > 0);
}

#[test]
fn a_sender_needs_rules_to_act_and_valid_settings_to_start() {
    let process = Placement::new(settings(0, 3), None, None, Incarnation(1), at(START_MS)).unwrap();
    assert_eq!(process.zone_access(at(START_MS), tenant()), ZoneAccess::Closed(ClosedReason::NoRules));
    for invalid in [settings(3, 3), settings(0, 0), settings(0, 361)] {
        let started = Placement::new(invalid, None, None, Incarnation(1), at(START_MS));
        assert!(matches!(started, Err(StartError::Settings(_))));
    }
}
