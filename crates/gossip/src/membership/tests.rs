use rudderspindle_clock::UnixMillis;

use super::incarnation::MAX_CLOCK_LEAD;
use super::{
    FORGET_TIMEOUT, Incarnation, IncarnationOrder, IncarnationTooFarAhead, LIVENESS_TIMEOUT, MemberEvent,
    MembershipList, NewestIncarnation,
};

const START: UnixMillis = UnixMillis(1_700_000_000_000);

#[test]
fn incarnations_grow_after_a_clock_setback_or_lost_state() {
    let first = Incarnation::next(None, START);
    assert_eq!(first, Incarnation(START.0));
    let second = Incarnation::next(Some(first), START - 5_000);
    assert!(second > first);
    assert!(Incarnation::next(Some(second), START + 9) > second);
    assert!(Incarnation::next(None, START + 600) > first, "started with an empty state folder 0.6 s later");
}

/// Up to `MAX_DATAGRAM_DELAY` after a restart, a message of the older incarnation is a late datagram; after that it was sent
/// by a duplicate process.
#[test]
fn older_incarnations_are_ignored_and_duplicate_processes_detected() {
    let mut members = MembershipList::new(2);
    assert_eq!(members.record_message(0, Incarnation(START.0), START), Ok(IncarnationOrder::Newer));
    assert_eq!(members.last_event(0), Some(MemberEvent::Joined));
    let restarted = members.record_message(0, Incarnation(START.0 + 600), START + 700);
    assert_eq!(restarted, Ok(IncarnationOrder::Newer));
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 800), Ok(IncarnationOrder::Older));
    assert_eq!(
        members.last_event(0),
        Some(MemberEvent::Restarted),
        "a late datagram does not change the last event"
    );
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 5_000), Ok(IncarnationOrder::Older));
    assert_eq!(members.last_event(0), Some(MemberEvent::DuplicateDetected));
    let newest = NewestIncarnation { incarnation: Incarnation(START.0 + 600), last_received: START + 700 };
    assert_eq!(
        members.newest(0),
        Some(newest),
        "messages of the older incarnation do not update last_received"
    );
}

#[test]
fn a_paused_sender_resumes_and_an_unknown_one_is_not_alive() {
    let mut members = MembershipList::new(2);
    members.record_message(0, Incarnation(START.0), START).expect("incarnation within the maximum lead");
    assert!(members.is_alive(0, START + LIVENESS_TIMEOUT - 1));
    assert!(
        !members.is_alive(0, START + LIVENESS_TIMEOUT) && members.last_event(0).is_some(),
        "down or paused"
    );
    assert!(!members.is_alive(1, START) && members.last_event(1).is_none(), "never received from");
    assert_eq!(
        members.record_message(0, Incarnation(START.0), START + 30_000),
        Ok(IncarnationOrder::Current)
    );
    assert_eq!(members.last_event(0), Some(MemberEvent::Resumed));
}

/// Incarnations more than `MAX_CLOCK_LEAD` ahead of the clock are rejected; others are forgotten after `FORGET_TIMEOUT`.
#[test]
fn incarnations_ahead_of_the_clock_block_no_number_permanently() {
    let mut members = MembershipList::new(2);
    for too_far_ahead in [u64::MAX, START.0 + MAX_CLOCK_LEAD + 1] {
        assert_eq!(
            members.record_message(0, Incarnation(too_far_ahead), START),
            Err(IncarnationTooFarAhead { announced: too_far_ahead, now: START })
        );
    }
    assert_eq!(members.last_event(0), None);
    members
        .record_message(0, Incarnation(START.0 + MAX_CLOCK_LEAD), START)
        .expect("incarnation at the maximum lead");
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 1_000), Ok(IncarnationOrder::Older));
    assert_eq!(
        members.record_message(0, Incarnation(START.0), START + FORGET_TIMEOUT),
        Ok(IncarnationOrder::Newer),
        "forgotten after FORGET_TIMEOUT"
    );
    for number in 0..10_000 {
        let _ = members.record_message(number, Incarnation(START.0), START + FORGET_TIMEOUT);
    }
    assert_eq!(members.members.len(), 2, "at most one entry for each sender");
}
