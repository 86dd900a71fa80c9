//! Demand, and the capacity that the fleet leaves to a sender.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{CapacityUpdate, DestinationId, Event, LimitScope, Outcome};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

/// The capacity that the fleet leaves to a sender, for each call of its demand.
fn capacity(calls: f64) -> Event {
    let scope = LimitScope { destination: DestinationId(0), route: None };
    let valid_for = 20_000.0;
    Event::Capacity(CapacityUpdate { scope, calls_per_demand: calls, total_demand: 0.0, valid_for })
}

/// No message waits, but the demand includes those that are expected before the next report.
#[test]
fn demand_includes_the_messages_expected_before_the_next_report() {
    let mut harness = Harness::new(idempotent_settings(), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), capacity(f64::INFINITY)]);
    for n in 0..30 {
        harness.step(100.0, &[message(n, 0, 0)]);
        harness.step(0.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let wanted = harness.policy.demands()[0].calls_wanted;
    assert!((4.0..6.0).contains(&wanted), "{wanted} wanted of ten a second that come");
    harness.step(5_000.0, &[]);
    assert!(harness.policy.demands()[0].calls_wanted < 0.1);
}

/// All senders with the same Retry-After return when it is over: each keeps to the rate that the fleet leaves
/// to it.
#[test]
fn after_a_retry_after_the_next_call_follows_the_rate_that_the_fleet_leaves() {
    for (calls, after) in [(0.25, 1_600.0..5_700.0), (1.0, 400.0..1_500.0)] {
        for seed in 0..20 {
            let mut harness = Harness::new(idempotent_settings(), seed);
            harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), capacity(f64::INFINITY), message(1, 0, 0)]);
            harness.step(10.0, &[capacity(calls), outcome(1, 0, Outcome::Rejected, 1_000.0)]);
            let retry_after_end = harness.now + 1_000.0;
            // The rejection halved what that report left; this is the next one.
            harness.step(250.0, &[capacity(calls)]);
            let sent = sends(&harness.run(9_000.0));
            let later = harness.now - retry_after_end;
            assert!(sent == [(1, 1)] && after.contains(&later), "{calls} a second: sent {later} ms after it");
        }
    }
}
