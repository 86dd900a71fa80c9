//! Arithmetic at the bounds of the range, and the serialized and displayed forms.

use super::UnixMillis;

#[test]
fn saturating_arithmetic_stops_at_the_bounds_of_the_range() {
    let latest = UnixMillis(u64::MAX);
    assert_eq!(latest.saturating_add(1), latest);
    assert_eq!(UnixMillis(5).saturating_add(1), UnixMillis(6));
    assert_eq!(UnixMillis(5).saturating_sub(6), UnixMillis::EPOCH);
    assert_eq!(UnixMillis(5).saturating_sub(4), UnixMillis(1));
}

#[test]
fn the_operators_add_and_subtract_milliseconds() {
    assert_eq!(UnixMillis(1_000) + 250, UnixMillis(1_250));
    assert_eq!(UnixMillis(1_000) - 250, UnixMillis(750));
    let mut time = UnixMillis(1_000);
    time += 250;
    assert_eq!(time, UnixMillis(1_250));
    assert!(UnixMillis(1_000) < UnixMillis(1_001));
}

#[test]
fn a_time_is_serialized_and_displayed_as_its_number() {
    let time = UnixMillis(1_700_000_000_000);
    assert_eq!(serde_json::to_string(&time).expect("a number"), "1700000000000");
    assert_eq!(serde_json::from_str::<UnixMillis>("1700000000000").expect("a time"), time);
    assert_eq!(time.to_string(), "1700000000000");
}

#[test]
fn the_system_clock_is_later_than_the_year_2020() {
    assert!(UnixMillis::now() > UnixMillis(1_577_836_800_000));
}
