use super::*;

const T: u64 = 1_700_000_000_000;

#[test]
fn an_incarnation_grows_though_the_clock_went_back_or_nothing_was_kept() {
    let first = Incarnation::next(None, T);
    assert_eq!(first, Incarnation(T));
    let second = Incarnation::next(Some(first), T - 5_000);
    assert!(second > first);
    assert!(Incarnation::next(Some(second), T + 9) > second);
    assert!(Incarnation::next(None, T + 600) > first, "an empty folder 0.6 s later");
}

#[test]
fn what_an_older_one_says_counts_no_more_and_two_at_once_are_told_from_a_late_note() {
    let mut roster = Roster::new(2);
    assert_eq!(roster.admit(0, Incarnation(T), T), Ok(Standing::Newer));
    assert_eq!(roster.fate(0), Some(Fate::Started));
    assert_eq!(roster.admit(0, Incarnation(T + 600), T + 700), Ok(Standing::Newer));
    assert_eq!(roster.admit(0, Incarnation(T), T + 800), Ok(Standing::Older));
    assert_eq!(roster.fate(0), Some(Fate::Back), "a note that was late says nothing");
    assert_eq!(roster.admit(0, Incarnation(T), T + 5_000), Ok(Standing::Older));
    assert_eq!(roster.fate(0), Some(Fate::RanTwice));
    assert_eq!(roster.newest(0), Some((Incarnation(T + 600), T + 700)), "the older one keeps nobody alive");
}

#[test]
fn who_died_is_told_from_who_stopped_and_went_on() {
    let mut roster = Roster::new(2);
    roster.admit(0, Incarnation(T), T).expect("in time");
    assert!(roster.is_alive(0, T + SILENT - 1));
    assert!(!roster.is_alive(0, T + SILENT) && roster.fate(0).is_some(), "died, or stopped");
    assert!(!roster.is_alive(1, T) && roster.fate(1).is_none(), "never heard");
    assert_eq!(roster.admit(0, Incarnation(T), T + 30_000), Ok(Standing::Same));
    assert_eq!(roster.fate(0), Some(Fate::WentOn));
}

#[test]
fn a_liar_or_a_wrong_clock_shuts_no_number_out_for_good() {
    let mut roster = Roster::new(2);
    for absurd in [u64::MAX, T + AHEAD + 1] {
        assert_eq!(roster.admit(0, Incarnation(absurd), T), Err(TooFarAhead { told: absurd, now: T }));
    }
    assert_eq!(roster.fate(0), None);
    roster.admit(0, Incarnation(T + AHEAD), T).expect("just near enough");
    assert_eq!(roster.admit(0, Incarnation(T), T + 1_000), Ok(Standing::Older));
    assert_eq!(
        roster.admit(0, Incarnation(T), T + FORGOTTEN),
        Ok(Standing::Newer),
        "forgotten after a while"
    );
    for number in 0..10_000 {
        let _ = roster.admit(number, Incarnation(T), T + FORGOTTEN);
    }
    assert_eq!(roster.members.len(), 2, "no more entries than senders");
}
