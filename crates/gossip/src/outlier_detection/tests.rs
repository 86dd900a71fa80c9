use std::collections::BTreeSet;

use proptest::prelude::{Just, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use rudderspindle_clock::UnixMillis;

use super::ejection::EJECTION_DURATION;
use super::matching::max_matching;
use super::reported_votes::{MAX_REPORTED_VOTES, VOTE_TTL};
use super::{CallResult, MAX_HISTORIES, ObserverVote, OutlierDetector, Receiver, ReceiverVote, Vote};

const NOW: UnixMillis = UnixMillis(1_700_000_000_000);

fn receivers(n: usize) -> Vec<Receiver> {
    (0..n).map(|n| Receiver::of(1, &format!("r{n}"))).collect()
}

fn down(first: UnixMillis, last: UnixMillis) -> Vote {
    Vote { first, last, recovered: false }
}

fn of(observer: usize, receiver: Receiver, vote: Vote) -> [ObserverVote; 1] {
    [ObserverVote { receiver, observer, vote }]
}

/// The detector of sender 0 in a fleet with ten senders in its zone and five in another, with the vote of each observer as
/// reported by itself.
fn detector(observers: &[usize], receiver: Receiver, vote: Vote, now: UnixMillis) -> OutlierDetector {
    let zones = (0..15).map(|n| u16::from(n >= 10)).collect();
    let mut detector = OutlierDetector::new(0, zones);
    for n in observers {
        detector.receive_votes(now, *n, &of(*n, receiver, vote));
    }
    detector
}

#[test]
fn three_observers_of_the_own_zone_eject_a_receiver_and_neither_two_nor_others_do() {
    let all = receivers(4);
    let vote = down(NOW - 900, NOW - 100);
    let ejected = |observers: &[usize], zone_senders| {
        detector(observers, all[0], vote, NOW).ejected(NOW, zone_senders, &all)
    };
    assert_eq!(ejected(&[1, 2, 3], 10), [all[0]]);
    assert!(ejected(&[1, 2], 10).is_empty());
    assert!(ejected(&[1, 2, 10, 11, 12, 13, 14], 10).is_empty(), "votes of the other zone");
    assert_eq!(ejected(&[1, 2], 3), [all[0]], "two of three that are alive");
    assert!(ejected(&[1], 1).is_empty(), "never one");
}

#[test]
fn two_consecutive_own_failures_are_a_vote_that_is_announced() {
    let all = receivers(2);
    let mut detector = detector(&[1, 2], all[0], down(NOW - 900, NOW - 100), NOW);
    detector.record_call(NOW, all[0], CallResult::Failed);
    assert!(detector.ejected(NOW, 10, &all).is_empty() && detector.own_votes(NOW).is_empty());
    detector.record_call(NOW + 100, all[0], CallResult::Failed);
    assert_eq!(detector.ejected(NOW + 100, 10, &all), [all[0]]);
    let vote = down(NOW, NOW + 100);
    assert_eq!(detector.own_votes(NOW + 100), [ReceiverVote { receiver: all[0], vote }]);
    detector.record_call(NOW + 200, all[0], CallResult::Answered);
    let vote = Vote { first: NOW + 200, last: NOW + 200, recovered: true };
    assert_eq!(detector.own_votes(NOW + 200), [ReceiverVote { receiver: all[0], vote }]);
    assert!(detector.ejected(NOW + 200, 10, &all).is_empty(), "its own calls outweigh the votes");
}

#[test]
fn an_own_answer_after_the_failures_began_refutes_a_vote_and_one_before_does_not() {
    let all = receivers(2);
    let ejected_after_answer = |at| {
        let mut detector = detector(&[1, 2, 3], all[0], down(NOW - 900, NOW - 100), NOW);
        detector.record_call(at, all[0], CallResult::Answered);
        detector.ejected(NOW, 10, &all)
    };
    assert_eq!(ejected_after_answer(NOW - 1_000), [all[0]]);
    // Although calls of its observers still fail, as these are partitioned.
    assert!(ejected_after_answer(NOW - 800).is_empty());
}

#[test]
fn a_recovered_vote_withdraws_a_down_vote_and_a_late_datagram_does_not_restore_it() {
    let all = receivers(2);
    let mut detector = detector(&[1, 2, 3], all[0], down(NOW - 900, NOW - 100), NOW);
    let recovered = Vote { first: NOW, last: NOW, recovered: true };
    detector.receive_votes(NOW + 50, 3, &of(3, all[0], recovered));
    detector.receive_votes(NOW + 60, 3, &of(3, all[0], down(NOW - 900, NOW - 100)));
    assert!(detector.ejected(NOW + 60, 10, &all).is_empty());
}

#[test]
fn a_vote_expires_by_itself_and_so_does_one_that_is_repeated_for_ever() {
    let all = receivers(2);
    let mut votes_of_three = detector(&[1, 2, 3], all[0], down(NOW - 900, NOW), NOW);
    assert_eq!(votes_of_three.ejected(NOW + VOTE_TTL - 1, 10, &all), [all[0]]);
    assert!(votes_of_three.ejected(NOW + VOTE_TTL, 10, &all).is_empty(), "not reported again");
    // The observations expire before the votes.
    let mut old_votes = detector(&[1, 2, 3], all[0], down(NOW - 4_800, NOW - 4_500), NOW);
    assert_eq!(old_votes.ejected(NOW + 499, 10, &all), [all[0]]);
    assert!(old_votes.ejected(NOW + 500, 10, &all).is_empty());
    let mut repeated = detector(&[], all[0], down(NOW, NOW), NOW);
    let mut ejected_at = Vec::new();
    for millis in (0..20_000).step_by(500) {
        let now = NOW + millis;
        for stuck in 1..=3 {
            repeated.receive_votes(now, stuck, &of(stuck, all[0], down(NOW, NOW)));
        }
        if !repeated.ejected(now, 10, &all).is_empty() {
            ejected_at.push(millis);
        }
    }
    assert_eq!(ejected_at.last(), Some(&(EJECTION_DURATION - 500)));
    assert!(repeated.votes.is_empty(), "an old vote was not taken in again");
}

#[test]
fn the_reader_probes_an_ejected_receiver_after_a_while_and_goes_by_the_result() {
    let all = receivers(2);
    let mut detector = detector(&[], all[0], down(NOW, NOW), NOW);
    let ejected = |detector: &mut OutlierDetector, now: UnixMillis| {
        (1..=3).for_each(|n| detector.receive_votes(now, n, &of(n, all[0], down(NOW, now))));
        detector.ejected(now, 10, &all)
    };
    assert_eq!(ejected(&mut detector, NOW), [all[0]]);
    assert_eq!(ejected(&mut detector, NOW + EJECTION_DURATION - 1), [all[0]]);
    assert!(ejected(&mut detector, NOW + EJECTION_DURATION).is_empty(), "it probes");
    detector.record_call(NOW + EJECTION_DURATION + 100, all[0], CallResult::Failed);
    assert_eq!(ejected(&mut detector, NOW + EJECTION_DURATION + 200), [all[0]]);
    detector.record_call(NOW + EJECTION_DURATION + 300, all[0], CallResult::Answered);
    assert!(ejected(&mut detector, NOW + EJECTION_DURATION + 400).is_empty());
}

#[test]
fn at_most_half_of_a_destinations_receivers_are_ejected_the_longest_down_first_and_one_remains() {
    for n in 1..=6 {
        let all = receivers(n);
        let mut detector = detector(&[], all[0], down(NOW, NOW), NOW);
        for observer in 1..=4 {
            for (later, receiver) in (0..).zip(all.iter().rev()) {
                detector.receive_votes(NOW, observer, &of(observer, *receiver, down(NOW - 900 + later, NOW)));
            }
        }
        let longest_down: Vec<Receiver> = all.iter().rev().take(n / 2).copied().collect();
        assert_eq!(detector.ejected(NOW, 10, &all), longest_down, "of {n}");
    }
}

#[test]
fn the_votes_of_an_observer_that_restarted_are_dropped_until_it_votes_again() {
    let all = receivers(2);
    let mut detector = detector(&[1, 2, 3], all[0], down(NOW - 900, NOW), NOW);
    // Reported by another sender, too.
    detector.receive_votes(NOW, 4, &of(2, all[0], down(NOW - 900, NOW)));
    detector.forget_observer(2);
    assert!(detector.ejected(NOW, 10, &all).is_empty());
}

proptest! {
    /// One sender reports arbitrary votes, its own and relayed ones; at most one other sender reports true votes.
    #[test]
    fn no_single_sender_ejects_a_receiver_whatever_it_reports_of_whom(
        forged in proptest::collection::vec((0_usize..20, 0_usize..4, 0_u64..3_000, 0_u64..9_000, any::<bool>()), 0..80),
        honest in prop_oneof![Just(vec![]), Just(vec![2]), Just(vec![3])],
        zone_senders in 4_usize..10,
    ) {
        let all = receivers(4);
        let mut detector = detector(&honest, all[0], down(NOW - 900, NOW), NOW);
        for (observer, receiver, run, ago, recovered) in forged {
            let last = (NOW + 1_000).saturating_sub(ago);
            let vote = Vote { first: last.saturating_sub(run), last, recovered };
            detector.receive_votes(NOW, 1, &of(observer, all[receiver], vote));
            prop_assert!(detector.votes.values().all(|votes| votes.len() <= MAX_REPORTED_VOTES));
        }
        prop_assert!(detector.ejected(NOW, zone_senders, &all).is_empty());
    }

    #[test]
    fn the_matching_is_as_large_as_any_assignment_finds(
        reporters in proptest::collection::vec(proptest::collection::btree_set(0_usize..5, 0..4), 0..5),
    ) {
        fn largest(observers: &[&BTreeSet<usize>], used: &mut Vec<usize>) -> usize {
            let Some((first, rest)) = observers.split_first() else { return 0 };
            let mut largest_so_far = largest(rest, used);
            for reporter in first.iter().filter(|reporter| !used.contains(reporter)).collect::<Vec<_>>() {
                used.push(*reporter);
                largest_so_far = largest_so_far.max(1 + largest(rest, used));
                used.pop();
            }
            largest_so_far
        }
        let observers: Vec<&BTreeSet<usize>> = reporters.iter().collect();
        prop_assert_eq!(max_matching(&observers), largest(&observers, &mut Vec::new()));
    }
}

#[test]
fn over_a_long_run_with_forged_votes_no_table_exceeds_its_bound_and_all_become_empty() {
    let mut detector = detector(&[], receivers(1)[0], down(NOW, NOW), NOW);
    for second in 0..600 {
        let now = NOW + second * 1_000;
        for n in 0..300_u64 {
            let receiver = Receiver::of(n as u16, &second.to_string());
            detector.record_call(now + n, receiver, CallResult::Failed);
            let vote = of((n % 15) as usize, receiver, down(now, now));
            detector.receive_votes(now, (n % 40) as usize, &vote);
        }
        detector.ejected(now, 10, &receivers(1));
        assert!(detector.histories.len() <= MAX_HISTORIES && detector.ejections.len() <= 1);
        assert!(detector.votes.len() <= 15);
        assert!(detector.votes.values().all(|votes| votes.len() <= MAX_REPORTED_VOTES));
    }
    detector.remove_expired(NOW + 900_000);
    assert!(detector.votes.is_empty() && detector.histories.is_empty());
}
