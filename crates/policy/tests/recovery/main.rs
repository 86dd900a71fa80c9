//! Outages of receivers whose routes share a limit, and the calls to them after their recovery: one probe and
//! one recovery ramp for all routes. Single cases step by step, then many scenarios in simulated time.

#[path = "../common/mod.rs"]
mod common;
mod outage_scope;
mod restart;
mod scenarios;

use common::{Answer, Call, Harness, message};
use rudderspindle_policy::interface::{Class, Effect, Event, Message, Millis, Outcome};
use rudderspindle_simulation::fixtures::{class, entry, list, settings};

/// One of two senders, and the routes of a receiver.
fn with_routes(routes: std::ops::RangeInclusive<u64>, kind: u16, seed: u64) -> Harness {
    let long = Class { deadline: 60_000.0, ..class(Effect::Idempotent) };
    let mut settings = settings(vec![long]);
    settings.peers_total = 2;
    settings.slots = 64;
    settings.max_attempts = 100;
    let mut harness = Harness::new(settings, seed);
    harness.step(0.0, &[list(routes.map(|route| entry(route, 0, kind, 0)).collect())]);
    harness
}

fn messages(ids: std::ops::Range<u32>) -> Vec<Event> {
    let long_lived = |event| match event {
        Event::Message(message) => Event::Message(Message { time_left: 60_000.0, ..message }),
        other => other,
    };
    ids.map(|id| long_lived(message(id, 0, 0))).collect()
}

const OK: Answer = Answer::new(50.0, Outcome::Ok);
const NO_CONNECTION: Answer = Answer::new(10.0, Outcome::ConnectFailed);

/// Answers with `during` until the receiver has recovered, and with success from then on.
fn answers_until(returned_at: Millis, during: Answer) -> impl Fn(Millis, u64) -> Answer + Copy {
    move |now, _| if now < returned_at { during } else { OK }
}

/// Rejects calls until the receiver has recovered, with the remaining Retry-After.
fn rejects_until(returned_at: Millis) -> impl Fn(Millis, u64) -> Answer + Copy {
    move |now, _| if now < returned_at { rejected(returned_at - now) } else { OK }
}

fn rejected(retry_after: Millis) -> Answer {
    Answer { after: 10.0, outcome: Outcome::Rejected, retry_after }
}

/// Calls that a receiver of 10 calls per second can take from one of two senders in the first seconds after
/// its recovery.
fn ramp_of_one(seconds: f64) -> f64 {
    // A share of a half, and 0.66 of the overload multiple of 2, with a capacity that grows from a fifth in
    // 10 s.
    0.5 * 0.66 * 2.0 * 10.0 * seconds * (0.2 + 0.8 * seconds / 10.0 / 2.0)
}

/// The calls after the end of an outage must be one probe and then the recovery ramp of one destination.
fn assert_one_probe_and_one_ramp(calls: &[Call], returned_at: Millis, what: &str) {
    let after: Vec<&Call> = calls.iter().filter(|call| call.at >= returned_at).collect();
    let first = after.first().unwrap_or_else(|| panic!("{what}: nothing was sent"));
    // The answer to the probe takes 50 ms: until then no other call starts.
    let probes = after.iter().filter(|call| call.at < first.at + 50.0).count();
    assert_eq!(probes, 1, "{what}: one probe, not {probes}: {after:?}");
    let soon = after.iter().filter(|call| call.at < first.at + 3_000.0).count() as f64;
    let bound = 1.0 + 1.35 * ramp_of_one(3.0);
    assert!(soon <= bound, "{what}: {soon} calls in 3 s of the return, {bound:.1} at the most");
}
