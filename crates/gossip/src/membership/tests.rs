use rudderspindle_clock::UnixMillis;

use super::incarnation::MAX_CLOCK_LEAD;
use super::{
    FORGET_TIMEOUT, Incarnation, IncarnationOrder, IncarnationTooFarAhead, LIVENESS_TIMEOUT, MemberEvent,
    MembershipList, NewestIncarnation,
};

const START: UnixMillis = UnixMillis(1_700_000_000_000);

#[test]
fn an_incarnation_grows_though_the_clock_went_back_or_nothing_was_stored() {
    let first = Incarnation::next(None, START);
    assert_eq!(first, Incarnation(START.0));
    let second = Incarnation::next(Some(first), START - 5_000);
    assert!(second > first);
    assert!(Incarnation::next(Some(second), START + 9) > second);
    assert!(Incarnation::next(None, START + 600) > first, "an empty folder 0.6 s later");
}

#[test]
fn messages_of_an_older_incarnation_do_not_count_and_a_duplicate_process_is_no_late_datagram() {
    let mut members = MembershipList::new(2);
    assert_eq!(members.record_message(0, Incarnation(START.0), START), Ok(IncarnationOrder::Newer));
    assert_eq!(members.last_event(0), Some(MemberEvent::Joined));
    let restarted = members.record_message(0, Incarnation(START.0 + 600), START + 700);
    assert_eq!(restarted, Ok(IncarnationOrder::Newer));
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 800), Ok(IncarnationOrder::Older));
    assert_eq!(members.last_event(0), Some(MemberEvent::Restarted), "a late datagram changes nothing");
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 5_000), Ok(IncarnationOrder::Older));
    assert_eq!(members.last_event(0), Some(MemberEvent::DuplicateDetected));
    let newest = NewestIncarnation { incarnation: Incarnation(START.0 + 600), last_received: START + 700 };
    assert_eq!(members.newest(0), Some(newest), "the older one keeps nobody alive");
}

#[test]
fn a_dead_sender_is_distinguished_from_one_that_paused_and_resumed() {
    let mut members = MembershipList::new(2);
    members.record_message(0, Incarnation(START.0), START).expect("in time");
    assert!(members.is_alive(0, START + LIVENESS_TIMEOUT - 1));
    assert!(
        !members.is_alive(0, START + LIVENESS_TIMEOUT) && members.last_event(0).is_some(),
        "dead, or paused"
    );
    assert!(!members.is_alive(1, START) && members.last_event(1).is_none(), "never received from");
    assert_eq!(
        members.record_message(0, Incarnation(START.0), START + 30_000),
        Ok(IncarnationOrder::Current)
    );
    assert_eq!(members.last_event(0), Some(MemberEvent::Resumed));
}

#[test]
fn a_forged_incarnation_or_a_wrong_clock_locks_no_number_out_for_good() {
    let mut members = MembershipList::new(2);
    for absurd in [u64::MAX, START.0 + MAX_CLOCK_LEAD + 1] {
        assert_eq!(
            members.record_message(0, Incarnation(absurd), START),
            Err(IncarnationTooFarAhead { announced: absurd, now: START })
        );
    }
    assert_eq!(members.last_event(0), None);
    members.record_message(0, Incarnation(START.0 + MAX_CLOCK_LEAD), START).expect("just near enough");
    assert_eq!(members.record_message(0, Incarnation(START.0), START + 1_000), Ok(IncarnationOrder::Older));
    assert_eq!(
        members.record_message(0, Incarnation(START.0), START + FORGET_TIMEOUT),
        Ok(IncarnationOrder::Newer),
        "forgotten after a while"
    );
    for number in 0..10_000 {
        let _ = members.record_message(number, Incarnation(START.0), START + FORGET_TIMEOUT);
    }
    assert_eq!(members.members.len(), 2, "no more entries than senders");
}
