//! The conditions under which a sender may act.
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

/// Lets time pass; a datagram is delivered if `passes(from, to)`.
fn run(simulation: &mut Simulation, duration_ms: u64, passes: impl Fn(usize, usize) -> bool) {
    let until_ms = simulation.now_ms + duration_ms;
    while simulation.now_ms < until_ms {
        for (from, datagram) in simulation.tick() {
            if passes(from, usize::from(datagram.to.0)) {
                simulation.deliver(from, &datagram);
            }
        }
        simulation.advance();
    }
}

fn acting(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.nodes.len()).filter(|&index| simulation.acting_zones(index) != ZoneSet::EMPTY).collect()
}

fn new(own_id: u16, sender_count: u16, revision: u64, zones: &[&str]) -> Placement {
    let file = Some(rules(revision, zones));
    Placement::new(settings(own_id, sender_count), file, None, Incarnation(1), at(START_MS)).unwrap()
}

#[test]
fn a_partition_into_equal_halves_closes_both_for_ruled_tenants_only_and_one_in_four_leaves_the_three_open() {
    let mut simulation = Simulation::committed(4, &rules(1, &["hall-a"]));
    assert_eq!(acting(&simulation), [0, 1, 2, 3]);
    run(&mut simulation, LEASE_MS + 500, |from, to| from % 2 == to % 2);
    assert_eq!(acting(&simulation), []);
    let process = simulation.process(0);
    assert_eq!(process.zone_access(simulation.now(), tenant()), ZoneAccess::Closed(ClosedReason::NoLease));
    assert_eq!(process.zone_access(simulation.now(), key().tenant_id("tapi-news")), ZoneAccess::Unrestricted);
    let refused = Err(AdmissionRejected { reason: ClosedReason::NoLease, retry_after_ms: 500 });
    assert_eq!(process.check_admission(simulation.now(), tenant()), refused);

    run(&mut simulation, LEASE_MS, |_, _| true);
    run(&mut simulation, LEASE_MS + 500, |from, to| (from == 3) == (to == 3));
    assert_eq!(acting(&simulation), [0, 1, 2]);
    let outside = simulation.process(1).check_admission(simulation.now(), tenant());
    assert_eq!(
        outside,
        Err(AdmissionRejected { reason: ClosedReason::OwnZoneExcluded, retry_after_ms: LEASE_MS })
    );
}

#[test]
fn a_new_fleet_acts_once_all_have_been_up_and_nobody_acts_at_a_start() {
    let file = rules(1, &["hall-a"]);
    let mut simulation = Simulation::committed(5, &file);
    (0..5).for_each(|index| simulation.kill(index, true));
    (0..4).for_each(|index| simulation.restart(index, &file));
    run(&mut simulation, 3 * LEASE_MS, |_, _| true);
    assert_eq!(acting(&simulation), [], "four of five could be old ones whose records are lost");
    simulation.restart(4, &file);
    run(&mut simulation, 2 * LEASE_MS, |_, _| true);
    assert_eq!(acting(&simulation), [0, 1, 2, 3, 4]);
    simulation.kill(0, false);
    simulation.restart(0, &file);
    assert_eq!(acting(&simulation), [1, 2, 3, 4]);
}

#[test]
fn a_sender_without_its_record_votes_again_only_by_rounds_that_began_after_its_start() {
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

#[test]
fn of_two_incarnations_of_one_sender_the_later_counts_whichever_comes_last() {
    let mut simulation = Simulation::committed(4, &rules(1, &["hall-a"]));
    let old = simulation.tick();
    let is_heartbeat = |(_, datagram): &&(usize, OutgoingDatagram)| datagram.body[0] == HEARTBEAT;
    let aggregator = usize::from(old.iter().find(is_heartbeat).unwrap().1.to.0);
    // Of the others, one is received, first with and then without its record, one applies the summary, and one is down.
    let [heard, acts, down] = [1, 2, 3].map(|offset| (aggregator + offset) % 4);
    simulation.kill(down, false);
    simulation.kill(heard, true);
    simulation.restart(heard, &rules(1, &["hall-a"]));
    let young = simulation.tick();
    let before = simulation.process(acts).lease_expires_at();
    for (from, datagram) in young.iter().chain(&old).filter(|(from, _)| *from == heard) {
        simulation.deliver(*from, datagram);
    }
    simulation.advance();
    let summaries = simulation.tick();
    assert!(summaries.iter().any(|(from, summary)| *from == aggregator && usize::from(summary.to.0) == acts));
    for (from, summary) in &summaries {
        simulation.deliver(*from, summary);
    }
    assert_eq!(simulation.process(acts).lease_expires_at(), before);
}

#[test]
fn a_summary_with_a_revision_that_is_not_held_renews_no_lease_until_the_rules_have_come() {
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
    assert_eq!(acting(&simulation), [0, 1]);
    run(&mut simulation, LEASE_MS, |_, _| true);
    assert_eq!([0, 1, 2].map(|index| simulation.acting_zones(index)), [FIRST_ZONE; 3]);
}

#[test]
fn a_summary_that_is_duplicated_replayed_or_of_a_future_round_extends_no_lease() {
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

#[test]
fn of_two_rule_sets_with_one_revision_what_both_allow_is_open_and_one_event_says_so() {
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
fn a_tenant_that_a_newer_rule_set_leaves_out_stays_ruled_until_that_is_committed() {
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
fn a_lower_revision_is_refused_whole_and_an_outdated_file_at_a_start_is_an_event() {
    let mut process = new(0, 3, 5, &["hall-a"]);
    let back = process.reload(at(START_MS), rules(4, &["hall-a", "hall-b"]));
    assert_eq!(back, Err(ReloadError::RevisionTooLow { given: 4, held: 5, lowest_valid: 6 }));
    assert_eq!(process.rule_sets().map(|id| id.revision).collect::<Vec<_>>(), [5]);
    let record = StateRecord::decode(&process.snapshot().bytes, &key()).unwrap();
    let file = Some(rules(4, &["hall-b"]));
    let mut next = Placement::new(settings(0, 3), file, Some(record), Incarnation(2), at(START_MS)).unwrap();
    let outdated = PlacementEvent::FileOutdated { file_revision: 4, held_revision: 5 };
    assert!(next.take_events().contains(&outdated));
}

#[test]
fn nothing_is_acknowledged_before_it_is_persisted() {
    let mut process = new(0, 3, 1, &["hall-a"]);
    assert_eq!(process.poll_datagrams(at(START_MS)), []);
    let snapshot = process.poll_snapshot(at(START_MS)).unwrap();
    process.mark_persisted(snapshot.generation);
    assert_eq!(process.poll_snapshot(at(START_MS)), None);
    let sent: usize = (0..4).map(|round| process.poll_datagrams(at(START_MS + round * 500)).len()).sum();
    assert!(sent > 0);
}

#[test]
fn a_sender_without_any_rules_or_state_opens_nothing_and_wrong_settings_start_nothing() {
    let process = Placement::new(settings(0, 3), None, None, Incarnation(1), at(START_MS)).unwrap();
    assert_eq!(process.zone_access(at(START_MS), tenant()), ZoneAccess::Closed(ClosedReason::NoRules));
    for wrong in [settings(3, 3), settings(0, 0), settings(0, 361)] {
        let started = Placement::new(wrong, None, None, Incarnation(1), at(START_MS));
        assert!(matches!(started, Err(StartError::Settings(_))));
    }
}
