//! Tests the estimate at a steady rate, and after the arrivals have ended.

use super::ArrivalRate;

/// Ten messages arrive a second for ten seconds, and none in the next four seconds.
#[test]
fn the_estimate_follows_the_arrivals() {
    let mut arrival_rate = ArrivalRate::default();
    (0..100).for_each(|n| arrival_rate.record(f64::from(n) * 100.0));
    let steady = arrival_rate.expected_within(9_900.0, 1_000.0);
    assert!((steady - 10.0).abs() < 1.0, "{steady} arrivals a second, expected about 10");
    assert!(arrival_rate.expected_within(14_000.0, 1_000.0) < 0.5);
}
