//! Tests of outages: during an outage a receiver whose routes share a limit gets one probe at a time and one
//! recovery ramp for all routes. Some tests run a single case, and others many scenarios in simulated time.

#[path = "../common/mod.rs"]
mod common;
mod outage_scope;
mod restart;
mod scenarios;

use common::{Answer, Call, Harness, message};
use rudderspindle_policy::interface::{Class, Effect, Event, Message, Millis, Outcome};
use rudderspindle_simulation::fixtures::{class, entry, list, settings};

/// Returns a harness for one of two senders, with a list of the routes to one receiver.
fn harness_with_routes(routes: std::ops::RangeInclusive<u64>, kind: u16, seed: u64) -> Harness {
    let long_deadline = Class { deadline: 60_000.0, ..class(Effect::Idempotent) };
    let mut settings = settings(vec![long_deadline]);
    settings.peers_total = 2;
    settings.slots = 64;
    settings.max_attempts = 100;
    let mut harness = Harness::new(settings, seed);
    harness.step(0.0, &[list(routes.map(|route| entry(route, 0, kind, 0)).collect())]);
    harness
}

/// Returns messages that expire in 60 s.
fn messages(ids: std::ops::Range<u32>) -> Vec<Event> {
    let long_lived = |event| match event {
        Event::Message(message) => Event::Message(Message { time_left: 60_000.0, ..message }),
        other => other,
    };
    ids.map(|id| long_lived(message(id, 0, 0))).collect()
}

const OK: Answer = Answer::new(50.0, Outcome::Ok);
const NO_CONNECTION: Answer = Answer::new(10.0, Outcome::ConnectFailed);

/// Answers with `outage_answer` until the receiver has recovered, and with success from then on.
fn answers_until(recovered_at: Millis, outage_answer: Answer) -> impl Fn(Millis, u64) -> Answer + Copy {
    move |now, _| if now < recovered_at { outage_answer } else { OK }
}

/// Rejects calls with a Retry-After until the receiver has recovered, and answers with success from then on.
fn rejects_until(recovered_at: Millis) -> impl Fn(Millis, u64) -> Answer + Copy {
    move |now, _| if now < recovered_at { rejected(recovered_at - now) } else { OK }
}

fn rejected(retry_after: Millis) -> Answer {
    Answer { delay: 10.0, outcome: Outcome::Rejected, retry_after }
}

/// Returns how many calls one of two senders may send to a receiver of 10 calls per second in the first
/// `seconds` after its recovery.
fn ramp_calls_of_one_sender(seconds: f64) -> f64 {
    // The share of each of the two senders is a half. All senders together use 0.66 of the load that
    // overloads the receiver, which is 2 times its capacity. The capacity increases from a fifth to the whole
    // in 10 s.
    0.5 * 0.66 * 2.0 * 10.0 * seconds * (0.2 + 0.8 * seconds / 10.0 / 2.0)
}

/// Asserts that the calls after an outage are one probe and then the recovery ramp of one destination.
fn assert_one_probe_and_one_ramp(calls: &[Call], recovered_at: Millis, scenario_name: &str) {
    let calls_after: Vec<&Call> = calls.iter().filter(|call| call.at >= recovered_at).collect();
    let probe =
        calls_after.first().unwrap_or_else(|| panic!("{scenario_name}: no call was sent after the outage"));
    // The probe is answered after 50 ms, and no other call may start before.
    let probes = calls_after.iter().filter(|call| call.at < probe.at + 50.0).count();
    assert_eq!(
        probes, 1,
        "{scenario_name}: {probes} calls before the first answer: must be 1: {calls_after:?}"
    );
    let early_calls = calls_after.iter().filter(|call| call.at < probe.at + 3_000.0).count() as f64;
    let bound = 1.0 + 1.35 * ramp_calls_of_one_sender(3.0);
    assert!(early_calls <= bound, "{scenario_name}: {early_calls} calls in 3 s: must be at most {bound:.1}");
}
