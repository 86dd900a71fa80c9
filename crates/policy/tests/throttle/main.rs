//! The throttle: draws, other routes, order, pace and slots, with the failures that incidents have shown.

#[path = "../common/mod.rs"]
mod common;
mod drop_probability;
mod fleet_reports;
mod order;
mod pace;
mod slots;

use std::collections::BTreeMap;

use common::*;
use rudderspindle_policy::interface::*;

/// Answers every call for `span` ms with what `answer` says of its number and its route; returns the calls.
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
