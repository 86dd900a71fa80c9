//! The throttle: draws, other routes, order, send rate and slots, with the failures that incidents have
//! shown.

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

/// Answers every call for `span` ms with the result of `answer` for its number and its route. Returns the
/// calls.
fn play(
    harness: &mut Harness,
    first: Vec<Event>,
    span: Millis,
    answer: impl Fn(u32, u64) -> Answer,
) -> Vec<Call> {
    let mut calls = 0;
    play_calls(harness, first, span, &mut BTreeMap::new(), |_, route| {
        let answer = answer(calls, route);
        calls += 1;
        answer
    })
}

fn idempotent_settings() -> Settings {
    settings(vec![class(Effect::Idempotent)])
}
