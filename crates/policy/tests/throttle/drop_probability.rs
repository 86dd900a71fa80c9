//! The draws of the drop formula.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{Event, MessageHandle, Millis, Outcome};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

#[test]
fn without_requests_nothing_is_dropped() {
    // (0 - 1.5 * 0) / (0 + 1) = 0: the first call always passes.
    for seed in 0..50 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        let done = harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
        assert_eq!(sends(&done), [(1, 1)], "seed {seed}");
    }
}

#[test]
fn rejections_raise_the_drop_probability_as_the_formula_says_and_age_out() {
    // Three calls rejected, none accepted: p = (3 - 0) / (3 + 1) = 0.75 for the next one. While they are
    // still in flight, and once they have left the window, p = 0.
    let share = |pending: bool, later: Millis| {
        let mut sent = 0;
        for seed in 0..400 {
            let mut harness = Harness::new(idempotent_settings(), seed);
            harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
            for i in 0..3 {
                assert_eq!(sends(&harness.step(250.0, &[message(i, 0, 0)])), [(i, 1)]);
            }
            let mut answers = Vec::new();
            if !pending {
                answers.extend((0..3).map(|i| outcome(i, 0, Outcome::Rejected, 0.0)));
                answers.extend((0..3).map(|i| Event::Dropped(MessageHandle(i))));
            }
            harness.step(10.0, &answers);
            // Long enough for the first backoff to be over, but not for a second one.
            let done = harness.step(later, &[message(9, 0, 0)]);
            sent += sends(&done).len();
        }
        f64::from(sent as u32) / 400.0
    };
    let soon = share(false, 500.0);
    assert!((0.18..0.32).contains(&soon), "a quarter should go, {soon} did");
    assert_eq!(share(true, 500.0), 1.0, "a call in flight does not count yet");
    assert_eq!(share(false, 21_000.0), 1.0, "counts age out of the window, a long one while there are few");
}

#[test]
fn a_message_that_is_dropped_at_one_route_tries_another_before_it_backs_off() {
    let mut diverted = 0;
    for seed in 0..100 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        // Route 1 is in the sender's zone and preferred; route 2, with a limit of its own, is not.
        harness.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)])]);
        assert_eq!(sends(&harness.step(5.0, &[message(1, 0, 0)])), [(1, 1)]);
        harness.step(5.0, &[outcome(1, 0, Outcome::Rejected, 0.0), Event::Dropped(MessageHandle(1))]);
        let done = sends(&harness.step(500.0, &[message(2, 0, 0)]));
        assert_eq!(done.len(), 1, "one of the two takes it at once");
        diverted += usize::from(done[0].1 == 2);
    }
    // p = (1 - 0) / (1 + 1) = 0.5 at route 1.
    assert!((35..=65).contains(&diverted), "{diverted} of 100 were diverted");
}

#[test]
fn a_message_counts_as_one_request_however_often_it_draws() {
    // ib88e68: each redraw of a waiting message counted as a request, and the drop probability rose to one.
    // Three failed: the first draw fails with 3/4, each further one with 4/5, so ten let 90% through; were
    // each drop counted, they would fail with 3/4, 4/5, 5/6 and so on, and let 77% through.
    let mut sent = 0;
    for seed in 0..400 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
        for i in 0..3 {
            harness.step(250.0, &[message(i, 0, 0)]);
        }
        // Failed connections count like rejections, and do not change the send rate.
        let failed = (0..3)
            .flat_map(|i| [outcome(i, 0, Outcome::ConnectFailed, 0.0), Event::Dropped(MessageHandle(i))]);
        harness.step(10.0, &failed.collect::<Vec<_>>());
        let mut done = harness.step(500.0, &[message(9, 0, 0)]);
        for _ in 0..120 {
            done.extend(harness.step(10.0, &[]));
        }
        sent += sends(&done).len();
    }
    assert!(sent >= 340, "{sent} of 400 went within ten draws");
}
