//! Tests which receivers are ejected by many senders that exchange their votes in datagrams.

use super::simulated_fleet::{START, SimulatedFleet};
use rudderspindle_gossip::{CallResult, ReceiverId};

/// The zone of each sender. Consecutive senders are in consecutive zones, in rotation.
fn alternating_zones(senders: usize, zones: usize) -> Vec<u16> {
    (0..senders).map(|sender| (sender % zones) as u16).collect()
}

fn receivers() -> Vec<ReceiverId> {
    (0..4).map(|n| ReceiverId::of(3, &format!("r{n}"))).collect()
}

fn record_call(fleet: &mut SimulatedFleet, sender: usize, receiver: ReceiverId, result: CallResult) {
    let clock = fleet.clock(sender);
    fleet.senders[sender].view.record_call(clock, receiver, result);
}

fn ejected(fleet: &mut SimulatedFleet, sender: usize) -> Vec<ReceiverId> {
    let clock = fleet.clock(sender);
    fleet.senders[sender].view.ejected(clock, &receivers())
}

/// Lets the observers' calls to the first receiver fail. Returns, for each second, the number of senders that eject any
/// receiver.
fn ejecting_senders(fleet: &mut SimulatedFleet, observers: &[usize], seconds: u64) -> Vec<usize> {
    let first_receiver = receivers()[0];
    let mut ejecting = Vec::new();
    fleet.run(seconds * 1_000, |fleet| {
        // Each observer calls the receiver every 0.9 s.
        if fleet.elapsed().is_multiple_of(900) {
            for observer in observers {
                record_call(fleet, *observer, first_receiver, CallResult::Failed);
            }
        }
        if fleet.elapsed() % 1_000 == 950 {
            let senders = 0..fleet.senders.len();
            ejecting.push(senders.filter(|sender| !ejected(fleet, *sender).is_empty()).count());
        }
    });
    ejecting
}

/// Of the 100 senders in a zone, four observe failures, and more than 80 eject the receiver. No other zone ejects it.
#[test]
fn a_whole_zone_ejects_a_receiver_that_four_observers_vote_down() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(300, 3), 5);
    let ejecting = ejecting_senders(&mut fleet, &[0, 3, 6, 9], 7);
    assert!(ejecting.iter().max() > Some(&80), "ejected by {ejecting:?} of 100 senders, by second");
    for sender in 0..300 {
        let ejected = ejected(&mut fleet, sender);
        assert!(ejected.is_empty() || sender % 3 == 0, "sender {sender} of another zone ejects {ejected:?}");
    }
    let after_first_second = fleet.sent_datagrams.iter().filter(|((_, second), _)| *second > START.0 / 1_000);
    let sent: u64 = after_first_second.map(|(_, datagrams)| *datagrams).sum();
    let rate = sent as f64 / 300.0 / 6.0;
    println!("ejected by {ejecting:?} of 100, by second; {rate} datagrams per second from each sender");
    assert!(rate <= 4.0, "{rate} datagrams per second from each sender");
}

/// Six observers vote a receiver down while half of all datagrams are lost. The other zone ejects no receiver.
#[test]
fn a_zone_ejects_a_receiver_despite_datagram_loss() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(24, 2), 6);
    fleet.loss_probability = 0.5;
    fleet.duplication_probability = 0.5;
    let ejecting = ejecting_senders(&mut fleet, &[0, 2, 4, 6, 8, 10], 12);
    assert!(ejecting.iter().max() > Some(&2), "{ejecting:?}");
    let mut other_zone = (0..24).filter(|sender| sender % 2 == 1);
    assert!(other_zone.all(|sender| ejected(&mut fleet, sender).is_empty()));
}

/// The observer may also be selected as an aggregator, whose summaries contain its own votes.
#[test]
fn one_observer_that_votes_all_receivers_down_ejects_none() {
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

/// Half of a zone cannot reach a receiver. In the other half less than a twentieth of the calls is prevented by ejections.
#[test]
fn senders_that_reach_a_receiver_rarely_eject_it() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(12, 1), 9);
    let first_receiver = receivers()[0];
    let mut answered_calls = 0;
    let mut ejections = 0;
    fleet.run(60_000, |fleet| {
        if fleet.now.0.is_multiple_of(500) {
            (0..6).for_each(|sender| record_call(fleet, sender, first_receiver, CallResult::Failed));
            // The other senders call the receiver, unless they eject it, and receive answers.
            for sender in 6..12 {
                if ejected(fleet, sender).is_empty() {
                    record_call(fleet, sender, first_receiver, CallResult::Answered);
                    answered_calls += 1;
                } else {
                    ejections += 1;
                }
            }
        }
    });
    assert!(ejections * 20 < answered_calls, "{ejections} ejections, {answered_calls} answered calls");
}

/// Clocks differ by up to 200 ms. While the receiver is down, ejections prevent more than half of the failed calls; nine
/// seconds after its recovery no sender ejects it.
#[test]
fn an_ejection_lasts_until_the_receiver_recovers() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(40, 1), 12);
    for (number, sender) in fleet.senders.iter_mut().enumerate() {
        sender.clock_offset = number as i64 % 3 * 100 - 100;
    }
    let first_receiver = receivers()[0];
    let mut failed_without_ejection = 0;
    let mut failed_with_ejection = 0;
    let mut ejected_after_recovery = 0;
    fleet.run(40_000, |fleet| {
        let is_down = (5_000..25_000).contains(&fleet.elapsed());
        for sender in 0..40 {
            // Each sender calls the receiver once in two seconds on average.
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
                record_call(fleet, sender, first_receiver, result);
            }
        }
    });
    println!("with ejections {failed_with_ejection} calls failed, without {failed_without_ejection}");
    assert!(
        failed_with_ejection * 2 < failed_without_ejection,
        "with ejections {failed_with_ejection} calls failed, without {failed_without_ejection}"
    );
    assert_eq!(ejected_after_recovery, 0, "the receiver was ejected nine seconds after its recovery");
}

#[test]
fn a_zone_partitioned_from_the_other_still_ejects_a_receiver() {
    let mut fleet = SimulatedFleet::new(&alternating_zones(20, 2), 10);
    let links = (0..20).flat_map(|from| (0..20).map(move |to| (from, to)));
    fleet.partitions = links.filter(|(from, to)| from % 2 != to % 2).collect();
    let ejecting = ejecting_senders(&mut fleet, &[0, 2, 4, 6, 8], 12);
    assert!(ejecting.iter().max() > Some(&5), "{ejecting:?}");
    let mut other_zone = (0..20).filter(|sender| sender % 2 == 1);
    assert!(other_zone.all(|sender| ejected(&mut fleet, sender).is_empty()));
}
