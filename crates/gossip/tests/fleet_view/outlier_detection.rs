//! Ejections among many senders that exchange datagrams.

use super::simulated_fleet::{START, SimulatedFleet};
use rudderspindle_gossip::{CallResult, Receiver};

/// Senders that are alternately in each of `zones`.
fn alternating_zones(senders: usize, zones: usize) -> Vec<u16> {
    (0..senders).map(|sender| (sender % zones) as u16).collect()
}

fn receivers() -> Vec<Receiver> {
    (0..4).map(|n| Receiver::of(3, &format!("r{n}"))).collect()
}

fn record_call(fleet: &mut SimulatedFleet, sender: usize, receiver: Receiver, result: CallResult) {
    let clock = fleet.clock(sender);
    fleet.senders[sender].view.record_call(clock, receiver, result);
}

fn ejected(fleet: &mut SimulatedFleet, sender: usize) -> Vec<Receiver> {
    let clock = fleet.clock(sender);
    fleet.senders[sender].view.ejected(clock, &receivers())
}

/// Lets the observers' calls to the first receiver fail; returns the number of senders that eject it, by second.
fn ejecting_senders(fleet: &mut SimulatedFleet, observers: &[usize], seconds: u64) -> Vec<usize> {
    let first = receivers()[0];
    let mut ejecting = Vec::new();
    fleet.run(seconds * 1_000, |fleet| {
        // They call it again every 0.9 s.
        if fleet.elapsed().is_multiple_of(900) {
            for observer in observers {
                record_call(fleet, *observer, first, CallResult::Failed);
            }
        }
        if fleet.elapsed() % 1_000 == 950 {
            let senders = 0..fleet.senders.len();
            ejecting.push(senders.filter(|sender| !ejected(fleet, *sender).is_empty()).count());
        }
    });
    ejecting
}

#[test]
fn what_four_of_a_hundred_see_fail_the_hundred_eject_within_five_seconds_and_no_other_zone() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(300, 3), 5);
    let ejecting = ejecting_senders(&mut fleet, &[0, 3, 6, 9], 7);
    assert!(ejecting.iter().max() > Some(&80), "of 100: {ejecting:?}");
    for sender in 0..300 {
        let ejected = ejected(&mut fleet, sender);
        assert!(ejected.is_empty() || sender % 3 == 0, "sender {sender} of another zone ejects {ejected:?}");
    }
    let after_first_second = fleet.sent.iter().filter(|((_, second), _)| *second > START.0 / 1_000);
    let sent: u64 = after_first_second.map(|(_, datagrams)| *datagrams).sum();
    let rate = sent as f64 / 300.0 / 6.0;
    println!("ejected by {ejecting:?} of 100, by second; {rate} datagrams a second from each");
    assert!(rate <= 4.0, "{rate} datagrams a second from each");
}

#[test]
fn half_of_the_datagrams_lost_delay_an_ejection_and_eject_nothing_in_another_zone() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(24, 2), 6);
    fleet.loss = 0.5;
    fleet.duplication = 0.5;
    let ejecting = ejecting_senders(&mut fleet, &[0, 2, 4, 6, 8, 10], 12);
    assert!(ejecting.iter().max() > Some(&2), "{ejecting:?}");
    let mut other_zone = (0..24).filter(|sender| sender % 2 == 1);
    assert!(other_zone.all(|sender| ejected(&mut fleet, sender).is_empty()));
}

#[test]
fn an_observer_that_votes_all_receivers_down_ejects_none_also_as_an_aggregator() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(30, 1), 8);
    fleet.run(20_000, |fleet| {
        if fleet.now.0.is_multiple_of(100) {
            for receiver in receivers() {
                record_call(fleet, 4, receiver, CallResult::Failed);
            }
        }
        for sender in (0..30).filter(|sender| *sender != 4) {
            let ejected = ejected(fleet, sender);
            assert!(ejected.is_empty(), "sender {sender} ejects {ejected:?}");
        }
    });
}

#[test]
fn a_part_of_a_zone_that_cannot_reach_a_receiver_does_not_eject_it_from_those_that_can() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(12, 1), 9);
    let first = receivers()[0];
    let mut calls = 0;
    let mut ejections = 0;
    fleet.run(60_000, |fleet| {
        if fleet.now.0.is_multiple_of(500) {
            (0..6).for_each(|sender| record_call(fleet, sender, first, CallResult::Failed));
            // The others reach it while they do not eject it.
            for sender in 6..12 {
                if ejected(fleet, sender).is_empty() {
                    record_call(fleet, sender, first, CallResult::Answered);
                    calls += 1;
                } else {
                    ejections += 1;
                }
            }
        }
    });
    assert!(ejections * 20 < calls, "{ejections} times ejected, {calls} called");
}

#[test]
fn an_ejection_lasts_while_probes_fail_and_ends_when_the_receiver_recovers_though_clocks_differ() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(40, 1), 12);
    for (number, sender) in fleet.senders.iter_mut().enumerate() {
        sender.clock_offset = number as i64 % 3 * 100 - 100;
    }
    let first = receivers()[0];
    let mut failed_without_ejection = 0;
    let mut failed_with_ejection = 0;
    let mut ejected_after_recovery = 0;
    fleet.run(40_000, |fleet| {
        let is_down = (5_000..25_000).contains(&fleet.elapsed());
        for sender in 0..40 {
            // Each sender calls it once in two seconds on average.
            if !fleet.chance(1.0 / 40.0) {
                continue;
            }
            let is_ejected = !ejected(fleet, sender).is_empty();
            if is_down {
                failed_without_ejection += 1;
                failed_with_ejection += usize::from(!is_ejected);
            }
            ejected_after_recovery += usize::from(is_ejected && fleet.now > START + 25_000 + 9_000);
            if !is_ejected {
                let result = if is_down { CallResult::Failed } else { CallResult::Answered };
                record_call(fleet, sender, first, result);
            }
        }
    });
    println!("{failed_with_ejection} of {failed_without_ejection} calls failed");
    assert!(
        failed_with_ejection * 2 < failed_without_ejection,
        "{failed_with_ejection} of {failed_without_ejection} calls failed"
    );
    assert_eq!(ejected_after_recovery, 0, "ejected nine seconds after its recovery");
}

#[test]
fn two_zones_partitioned_from_one_another_eject_each_for_itself() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(20, 2), 10);
    let links = (0..20).flat_map(|from| (0..20).map(move |to| (from, to)));
    fleet.partitions = links.filter(|(from, to)| from % 2 != to % 2).collect();
    let ejecting = ejecting_senders(&mut fleet, &[0, 2, 4, 6, 8], 12);
    assert!(ejecting.iter().max() > Some(&5), "{ejecting:?}");
    let mut other_zone = (0..20).filter(|sender| sender % 2 == 1);
    assert!(other_zone.all(|sender| ejected(&mut fleet, sender).is_empty()));
}
