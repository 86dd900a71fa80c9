use std::collections::BTreeSet;

use proptest::prelude::{Just, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use rudderspindle_clock::UnixMillis;

use super::ejection::EJECTION_DURATION;
use super::matching::max_matching;
use super::reported_votes::{MAX_REPORTED_VOTES, VOTE_TTL_AFTER_RECEIPT};
use super::{CallResult, MAX_HISTORIES, ObserverVote, OutlierDetector, OwnVote, ReceiverId, Vote};

const NOW: UnixMillis = UnixMillis(1_700_000_000_000);

fn receivers(n: usize) -> Vec<ReceiverId> {
    (0..n).map(|n| ReceiverId::of(1, &format!("r{n}"))).collect()
}

fn down_vote(first_observed_at: UnixMillis, last_observed_at: UnixMillis) -> Vote {
    Vote { first_observed_at, last_observed_at, recovered: false }
}

fn vote_of(observer: usize, receiver: ReceiverId, vote: Vote) -> [ObserverVote; 1] {
    [ObserverVote { receiver, observer, vote }]
}

/// The detector of sender 0 in a fleet with ten senders in its zone and five in another. Each of `observers` has reported
/// `vote` on `receiver`.
fn detector(observers: &[usize], receiver: ReceiverId, vote: Vote, now: UnixMillis) -> OutlierDetector {
    let zones = (0..15).map(|n| u16::from(n >= 10)).collect();
    let mut detector = OutlierDetector::new(0, zones);
    for n in observers {
        detector.receive_votes(now, *n, &vote_of(*n, receiver, vote));
    }
    detector
}

/// Three observers are a quorum in a zone of ten senders, and two in a zone of three.
#[test]
fn only_a_quorum_of_observers_in_the_own_zone_ejects_a_receiver() {
    let receivers = receivers(4);
    let vote = down_vote(NOW - 900, NOW - 100);
    let ejected = |observers: &[usize], zone_senders| {
        detector(observers, receivers[0], vote, NOW).ejected(NOW, zone_senders, &receivers)
    };
    assert_eq!(ejected(&[1, 2, 3], 10), [receivers[0]]);
    assert!(ejected(&[1, 2], 10).is_empty());
    assert!(
        ejected(&[1, 2, 10, 11, 12, 13, 14], 10).is_empty(),
        "only two of the votes are from the own zone"
    );
    assert_eq!(ejected(&[1, 2], 3), [receivers[0]], "two of three live senders are a quorum");
    assert!(ejected(&[1], 1).is_empty(), "a single observer is never a quorum");
}

#[test]
fn two_consecutive_own_failures_are_a_down_vote() {
    let receivers = receivers(2);
    let mut detector = detector(&[1, 2], receivers[0], down_vote(NOW - 900, NOW - 100), NOW);
    detector.record_call(NOW, receivers[0], CallResult::Failed);
    assert!(detector.ejected(NOW, 10, &receivers).is_empty() && detector.own_votes(NOW).is_empty());
    detector.record_call(NOW + 100, receivers[0], CallResult::Failed);
    assert_eq!(detector.ejected(NOW + 100, 10, &receivers), [receivers[0]]);
    let vote = down_vote(NOW, NOW + 100);
    assert_eq!(detector.own_votes(NOW + 100), [OwnVote { receiver: receivers[0], vote }]);
    detector.record_call(NOW + 200, receivers[0], CallResult::Answered);
    let vote = Vote { first_observed_at: NOW + 200, last_observed_at: NOW + 200, recovered: true };
    assert_eq!(detector.own_votes(NOW + 200), [OwnVote { receiver: receivers[0], vote }]);
    assert!(
        detector.ejected(NOW + 200, 10, &receivers).is_empty(),
        "the own answer refutes the votes of the others"
    );
}

#[test]
fn only_an_own_answer_after_the_first_failure_refutes_a_vote() {
    let receivers = receivers(2);
    let ejected_after_answer = |answered_at| {
        let mut detector = detector(&[1, 2, 3], receivers[0], down_vote(NOW - 900, NOW - 100), NOW);
        detector.record_call(answered_at, receivers[0], CallResult::Answered);
        detector.ejected(NOW, 10, &receivers)
    };
    assert_eq!(ejected_after_answer(NOW - 1_000), [receivers[0]]);
    // The votes are refuted although the observers' calls may still fail, for instance in a network partition.
    assert!(ejected_after_answer(NOW - 800).is_empty());
}

#[test]
fn an_earlier_down_vote_does_not_replace_a_recovered_vote() {
    let receivers = receivers(2);
    let mut detector = detector(&[1, 2, 3], receivers[0], down_vote(NOW - 900, NOW - 100), NOW);
    let recovered = Vote { first_observed_at: NOW, last_observed_at: NOW, recovered: true };
    detector.receive_votes(NOW + 50, 3, &vote_of(3, receivers[0], recovered));
    detector.receive_votes(NOW + 60, 3, &vote_of(3, receivers[0], down_vote(NOW - 900, NOW - 100)));
    assert!(detector.ejected(NOW + 60, 10, &receivers).is_empty());
}

/// A vote expires `VOTE_TTL_AFTER_RECEIPT` after it was received, or `VOTE_TTL_AFTER_OBSERVATION` after its last observation
/// if that is earlier.
#[test]
fn votes_expire_even_if_they_are_reported_repeatedly() {
    let receivers = receivers(2);
    let mut votes_of_three = detector(&[1, 2, 3], receivers[0], down_vote(NOW - 900, NOW), NOW);
    assert_eq!(votes_of_three.ejected(NOW + VOTE_TTL_AFTER_RECEIPT - 1, 10, &receivers), [receivers[0]]);
    assert!(
        votes_of_three.ejected(NOW + VOTE_TTL_AFTER_RECEIPT, 10, &receivers).is_empty(),
        "the votes were not reported again within VOTE_TTL_AFTER_RECEIPT"
    );
    // These observations expire although `VOTE_TTL_AFTER_RECEIPT` has not passed since the votes were received.
    let mut old_votes = detector(&[1, 2, 3], receivers[0], down_vote(NOW - 4_800, NOW - 4_500), NOW);
    assert_eq!(old_votes.ejected(NOW + 499, 10, &receivers), [receivers[0]]);
    assert!(old_votes.ejected(NOW + 500, 10, &receivers).is_empty());
    let mut repeated_votes = detector(&[], receivers[0], down_vote(NOW, NOW), NOW);
    let mut ejected_at = Vec::new();
    for millis in (0..20_000).step_by(500) {
        let now = NOW + millis;
        for observer in 1..=3 {
            repeated_votes.receive_votes(
                now,
                observer,
                &vote_of(observer, receivers[0], down_vote(NOW, NOW)),
            );
        }
        if !repeated_votes.ejected(now, 10, &receivers).is_empty() {
            ejected_at.push(millis);
        }
    }
    assert_eq!(ejected_at.last(), Some(&(EJECTION_DURATION - 500)));
    assert!(repeated_votes.votes.is_empty(), "an expired vote was stored again");
}

/// A probe is due after `EJECTION_DURATION`. A failed probe extends the ejection, and an answered one ends it.
#[test]
fn the_result_of_a_probe_extends_or_ends_an_ejection() {
    let receivers = receivers(2);
    let mut detector = detector(&[], receivers[0], down_vote(NOW, NOW), NOW);
    let ejected = |detector: &mut OutlierDetector, now: UnixMillis| {
        (1..=3).for_each(|n| detector.receive_votes(now, n, &vote_of(n, receivers[0], down_vote(NOW, now))));
        detector.ejected(now, 10, &receivers)
    };
    assert_eq!(ejected(&mut detector, NOW), [receivers[0]]);
    assert_eq!(ejected(&mut detector, NOW + EJECTION_DURATION - 1), [receivers[0]]);
    assert!(ejected(&mut detector, NOW + EJECTION_DURATION).is_empty(), "the probe is due");
    detector.record_call(NOW + EJECTION_DURATION + 100, receivers[0], CallResult::Failed);
    assert_eq!(ejected(&mut detector, NOW + EJECTION_DURATION + 200), [receivers[0]]);
    detector.record_call(NOW + EJECTION_DURATION + 300, receivers[0], CallResult::Answered);
    assert!(ejected(&mut detector, NOW + EJECTION_DURATION + 400).is_empty());
}

#[test]
fn at_most_half_of_the_receivers_are_ejected_longest_down_first() {
    for n in 1..=6 {
        let receivers = receivers(n);
        let mut detector = detector(&[], receivers[0], down_vote(NOW, NOW), NOW);
        for observer in 1..=4 {
            for (delay_ms, receiver) in (0..).zip(receivers.iter().rev()) {
                detector.receive_votes(
                    NOW,
                    observer,
                    &vote_of(observer, *receiver, down_vote(NOW - 900 + delay_ms, NOW)),
                );
            }
        }
        let longest_down: Vec<ReceiverId> = receivers.iter().rev().take(n / 2).copied().collect();
        assert_eq!(detector.ejected(NOW, 10, &receivers), longest_down, "of {n}");
    }
}

#[test]
fn all_votes_of_a_forgotten_observer_are_removed() {
    let receivers = receivers(2);
    let mut detector = detector(&[1, 2, 3], receivers[0], down_vote(NOW - 900, NOW), NOW);
    // Sender 4 relays a vote of observer 2.
    detector.receive_votes(NOW, 4, &vote_of(2, receivers[0], down_vote(NOW - 900, NOW)));
    detector.forget_observer(2);
    assert!(detector.ejected(NOW, 10, &receivers).is_empty());
}

proptest! {
    /// Sender 1 reports arbitrary votes as its own and as relayed ones. At most one other sender reports a true vote.
    #[test]
    fn forged_votes_of_a_single_sender_eject_no_receiver(
        forged in proptest::collection::vec((0_usize..20, 0_usize..4, 0_u64..3_000, 0_u64..9_000, any::<bool>()), 0..80),
        honest in prop_oneof![Just(vec![]), Just(vec![2]), Just(vec![3])],
        zone_senders in 4_usize..10,
    ) {
        let receivers = receivers(4);
        let mut detector = detector(&honest, receivers[0], down_vote(NOW - 900, NOW), NOW);
        for (observer, receiver, duration_ms, age_ms, recovered) in forged {
            let last_observed_at = (NOW + 1_000).saturating_sub(age_ms);
            let vote = Vote { first_observed_at: last_observed_at.saturating_sub(duration_ms), last_observed_at, recovered };
            detector.receive_votes(NOW, 1, &vote_of(observer, receivers[receiver], vote));
            prop_assert!(detector.votes.values().all(|votes| votes.len() <= MAX_REPORTED_VOTES));
        }
        prop_assert!(detector.ejected(NOW, zone_senders, &receivers).is_empty());
    }

    #[test]
    fn max_matching_is_as_large_as_by_exhaustive_search(
        reporters in proptest::collection::vec(proptest::collection::btree_set(0_usize..5, 0..4), 0..5),
    ) {
        /// The size of the largest matching, found by trying every reporter of each observer.
        fn largest(observers: &[&BTreeSet<usize>], used: &mut Vec<usize>) -> usize {
            let Some((first, other_observers)) = observers.split_first() else { return 0 };
            let mut largest_so_far = largest(other_observers, used);
            for reporter in first.iter().filter(|reporter| !used.contains(reporter)).collect::<Vec<_>>() {
                used.push(*reporter);
                largest_so_far = largest_so_far.max(1 + largest(other_observers, used));
                used.pop();
            }
            largest_so_far
        }
        let observers: Vec<&BTreeSet<usize>> = reporters.iter().collect();
        prop_assert_eq!(max_matching(&observers), largest(&observers, &mut Vec::new()));
    }
}

/// For 600 s, calls to new receivers fail and votes with arbitrary observers and reporters are received.
#[test]
fn tables_stay_bounded_under_forged_votes_and_expire() {
    let mut detector = detector(&[], receivers(1)[0], down_vote(NOW, NOW), NOW);
    for second in 0..600 {
        let now = NOW + second * 1_000;
        for n in 0..300_u64 {
            let receiver = ReceiverId::of(n as u16, &second.to_string());
            detector.record_call(now + n, receiver, CallResult::Failed);
            let vote = vote_of((n % 15) as usize, receiver, down_vote(now, now));
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
