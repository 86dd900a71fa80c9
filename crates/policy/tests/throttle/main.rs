//! Tests of the throttle: drop probability, choice of routes, order, send rate and slots, including failures
//! that occurred in incidents.

#[path = "../common/mod.rs"]
mod common;
mod drop_probability;
mod fleet_reports;
mod order;
mod send_rate;
mod slots;

use std::collections::BTreeMap;

use common::{Answer, Call, Harness, play_calls};
use rudderspindle_policy::interface::{Effect, Event, Millis, Settings};
use rudderspindle_simulation::fixtures::{class, settings};

/// Runs the policy for `duration`, starting with `initial_events`, and returns its calls. `answer` returns
/// the answer to a call; its arguments are the number of earlier calls and the id of the route.
fn play(
    harness: &mut Harness,
    initial_events: Vec<Event>,
    duration: Millis,
    answer: impl Fn(u32, u64) -> Answer,
) -> Vec<Call> {
    let mut call_count = 0;
    play_calls(harness, initial_events, duration, &mut BTreeMap::new(), |_, route| {
        let answer = answer(call_count, route);
        call_count += 1;
        answer
    })
}

fn idempotent_settings() -> Settings {
    settings(vec![class(Effect::Idempotent)])
}
