//! Tests of the demand that a sender reports, and of the capacity updates that it receives.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{CapacityUpdate, DestinationId, Event, LimitScope, Outcome};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

/// Returns a capacity update, which allows the sender this number of calls per second for each call of its
/// demand.
fn capacity(rate_per_demand: f64) -> Event {
    let scope = LimitScope { destination: DestinationId(0), route: None };
    let valid_for = 20_000.0;
    Event::Capacity(CapacityUpdate { scope, rate_per_demand, fleet_demand: 0.0, valid_for })
}

/// No message is waiting, but messages arrive at a rate of ten per second.
#[test]
fn demand_includes_the_messages_expected_before_the_next_report() {
    let mut harness = Harness::new(idempotent_settings(), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), capacity(f64::INFINITY)]);
    for n in 0..30 {
        harness.step(100.0, &[message(n, 0, 0)]);
        harness.step(0.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let calls_wanted = harness.policy.demands()[0].calls_wanted;
    assert!(
        (4.0..6.0).contains(&calls_wanted),
        "{calls_wanted} calls wanted at ten messages per second: must be 4 to 6"
    );
    harness.step(5_000.0, &[]);
    assert!(harness.policy.demands()[0].calls_wanted < 0.1);
}

/// All senders with the same Retry-After send again when it ends, so each sender must not exceed the rate of
/// its capacity update.
#[test]
fn the_call_after_a_retry_after_keeps_to_the_reported_capacity() {
    for (rate_per_demand, expected_delay) in [(0.25, 1_600.0..5_700.0), (1.0, 400.0..1_500.0)] {
        for seed in 0..20 {
            let mut harness = Harness::new(idempotent_settings(), seed);
            harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), capacity(f64::INFINITY), message(1, 0, 0)]);
            harness.step(10.0, &[capacity(rate_per_demand), outcome(1, 0, Outcome::Rejected, 1_000.0)]);
            let retry_after_end = harness.now + 1_000.0;
            // The rejection has halved the capacity of the last update; the next update restores it.
            harness.step(250.0, &[capacity(rate_per_demand)]);
            let sent = sends(&harness.run(9_000.0));
            let delay = harness.now - retry_after_end;
            assert!(
                sent == [(1, 1)] && expected_delay.contains(&delay),
                "{rate_per_demand} calls/s: sent {delay} ms after the Retry-After"
            );
        }
    }
}
