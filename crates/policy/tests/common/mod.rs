//! Messages and calls for the tests, and a harness that checks the delivery rules.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod delivery_rules;
mod harness;

use std::collections::BTreeMap;

pub use harness::Harness;
use rudderspindle_policy::interface::{
    Action, DestinationId, Event, Message, MessageHandle, Millis, Outcome,
};
use rudderspindle_simulation::fixtures::outcome;

pub fn message(id: u32, class: usize, destination: u16) -> Event {
    keyed_message(id, class, destination, 0)
}

pub fn keyed_message(id: u32, class: usize, destination: u16, ordering_key: u64) -> Event {
    Event::Message(Message {
        id: MessageHandle(id),
        class,
        tenant: 0,
        ordering_key,
        time_left: 10_000.0,
        work_estimate: None,
        destination: DestinationId(destination),
    })
}

/// The messages that actions send, each with its route.
pub fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let send = |action: &Action| match *action {
        Action::Send { id, route, .. } => Some((id.0, route.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// A call as a receiver sees it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Millis,
    pub message: u32,
    pub route: u64,
}

/// How a receiver answers a call.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub after: Millis,
    pub outcome: Outcome,
    pub retry_after: Millis,
}

impl Answer {
    /// An answer without Retry-After.
    pub const fn new(after: Millis, outcome: Outcome) -> Self {
        Self { after, outcome, retry_after: 0.0 }
    }
}

/// Answers all calls for `span` ms with the result of `answer` for the time and the route of each.
pub fn play_calls(
    harness: &mut Harness,
    first: Vec<Event>,
    span: Millis,
    attempts: &mut BTreeMap<u32, u32>,
    mut answer: impl FnMut(Millis, u64) -> Answer,
) -> Vec<Call> {
    let mut due: Vec<(Millis, Event)> = Vec::new();
    let mut events = first;
    let mut calls = Vec::new();
    let mut token = 0;
    let end = harness.now + span;
    while harness.now < end {
        events.push(Event::Wake(token));
        for action in harness.step(5.0, &std::mem::take(&mut events)) {
            match action {
                Action::Wake { token: next, .. } => token = next,
                Action::Send { id, route, .. } => {
                    let attempt = attempts.entry(id.0).or_default();
                    let answer = answer(harness.now, route.0);
                    let event = outcome(id.0, *attempt, answer.outcome, answer.retry_after);
                    due.push((harness.now + answer.after, event));
                    calls.push(Call { at: harness.now, message: id.0, route: route.0 });
                    *attempt += 1;
                }
                _ => {}
            }
        }
        let now = harness.now;
        events.extend(due.iter().filter(|(at, _)| *at <= now).map(|(_, event)| event.clone()));
        due.retain(|(at, _)| *at > now);
    }
    calls
}
