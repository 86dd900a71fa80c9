//! Tests the shared rate, rescheduled calls, rejections and leases of one sender's share of a limit.

use super::{CapacityShare, CapacityUpdate, MIN_RATE, PermitLease, ScheduledCall};

/// A scheduled call that an update does not reschedule, because it is already due: at time 0, without a Retry-After
/// period.
const NO_CALL: ScheduledCall = ScheduledCall { due_at: 0.0, not_before: 0.0 };

/// An update for a limit of 40 calls a second that is valid for one second.
fn update(rate_per_demand: f64, own_demand: f64) -> CapacityUpdate {
    CapacityUpdate { rate_per_demand, fleet_demand: 0.0, valid_for: 1_000.0, own_demand, limit: 40.0 }
}

#[test]
fn the_shared_rate_is_proportional_to_demand_and_expires() {
    let mut share = CapacityShare::default();
    assert_eq!(share.rate(0.0, 5.0, 40.0), None);
    share.apply(0.0, &update(0.5, 5.0), NO_CALL);
    assert_eq!(share.rate(999.0, 5.0, 40.0), Some(2.5));
    assert_eq!(share.rate(999.0, 0.0, 40.0), Some(MIN_RATE));
    assert_eq!(share.rate(1_000.0, 5.0, 40.0), None);
    share.apply(1_000.0, &update(f64::INFINITY, 5.0), NO_CALL);
    assert_eq!(share.rate(1_500.0, 5.0, 40.0), Some(40.0));
}

#[test]
fn a_call_scheduled_by_an_older_rate_is_rescheduled_in_proportion() {
    let mut share = CapacityShare::default();
    let scheduled = |due_at, not_before| ScheduledCall { due_at, not_before };
    share.apply(0.0, &update(0.1, 1.0), NO_CALL);
    share.record_call(0.0, share.rate(0.0, 1.0, 40.0));
    // The call is due ten seconds later at 0.1 calls a second; at 0.4 the remaining delay is a quarter.
    assert_eq!(share.apply(2_000.0, &update(0.4, 1.0), scheduled(10_000.0, 0.0)), 4_000.0);
    // A Retry-After period is not scaled.
    share.record_call(2_000.0, share.rate(2_000.0, 1.0, 40.0));
    assert_eq!(share.apply(2_500.0, &update(0.8, 1.0), scheduled(6_000.0, 4_000.0)), 5_000.0);
    share.record_call(2_500.0, share.rate(2_500.0, 1.0, 40.0));
    // A due call stays due, and a call that was not scheduled by a shared rate is unchanged.
    assert_eq!(share.apply(5_000.0, &update(0.1, 1.0), scheduled(4_000.0, 0.0)), 4_000.0);
    share.record_call(5_000.0, None);
    assert_eq!(share.apply(6_000.0, &update(0.4, 1.0), scheduled(9_000.0, 0.0)), 9_000.0);
}

#[test]
fn a_first_call_is_delayed_only_near_the_limit() {
    let mut share = CapacityShare::default();
    share.apply(0.0, &update(f64::INFINITY, 1.0), NO_CALL);
    assert_eq!(share.schedule_first_call(0.0, 2.0, 0.5), None);
    share.apply(0.0, &update(2.0, 1.0), NO_CALL);
    assert_eq!(share.schedule_first_call(0.0, 2.0, 0.5), Some(500.0));
    share.apply(0.0, &update(0.25, 1.0), NO_CALL);
    assert_eq!(share.schedule_first_call(0.0, 0.25, 0.5), Some(4_000.0));
}

#[test]
fn a_rejection_halves_the_share_until_the_next_update() {
    let mut share = CapacityShare::default();
    share.apply(0.0, &update(f64::INFINITY, 4.0), NO_CALL);
    share.record_rejection();
    assert_eq!(share.rate(1.0, 4.0, 40.0), Some(2.0));
    share.apply(250.0, &update(0.9, 4.0), NO_CALL);
    assert_eq!(share.rate(251.0, 4.0, 40.0), Some(3.6));
}

#[test]
fn a_call_uses_a_lease_that_stays_used_when_set_again() {
    let mut share = CapacityShare::default().requiring_permits();
    assert_eq!(share.next_lease_at(0.0), f64::INFINITY);
    let lease = |number, from, until| PermitLease { number, from, until };
    let leases = [lease(8, 50.0, 150.0), lease(7, 10.0, 110.0), lease(9, 200.0, 300.0)];
    share.set_leases(0.0, &leases);
    assert_eq!(share.next_lease_at(0.0), 10.0);
    share.record_call(60.0, None);
    assert_eq!(share.next_lease_at(60.0), 50.0);
    share.set_leases(61.0, &leases);
    share.record_call(61.0, None);
    assert_eq!(share.next_lease_at(61.0), 200.0);
    // An expired lease is not available, even if it is set again.
    assert_eq!(share.next_lease_at(300.0), f64::INFINITY);
    share.set_leases(300.0, &leases);
    assert_eq!(share.next_lease_at(300.0), f64::INFINITY);
}
