//! Messages, simulated calls, and a harness that checks the delivery rules.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

mod delivery_rules;
mod harness;

use std::collections::BTreeMap;

pub use harness::Harness;
use rudderspindle_policy::interface::{
    Action, DestinationId, Event, Message, MessageHandle, Millis, Outcome,
};
use rudderspindle_simulation::fixtures::outcome;

/// Returns the submission of a message without an ordering key; the message expires in 10 s.
pub fn message(id: u32, class: usize, destination: u16) -> Event {
    keyed_message(id, class, destination, 0)
}

/// Returns the submission of a message with an ordering key; the message expires in 10 s.
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

/// Returns the ids of the messages that `actions` send, each with the id of its route.
pub fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let send = |action: &Action| match *action {
        Action::Send { id, route, .. } => Some((id.0, route.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// A call that the policy has sent to a receiver.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Time when the call was sent.
    pub at: Millis,
    pub message: u32,
    pub route: u64,
}

/// A receiver's answer to a call.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time from the call to the answer.
    pub delay: Millis,
    pub outcome: Outcome,
    /// 0 if the answer has no Retry-After.
    pub retry_after: Millis,
}

impl Answer {
    /// Creates an answer without Retry-After.
    pub const fn new(delay: Millis, outcome: Outcome) -> Self {
        Self { delay, outcome, retry_after: 0.0 }
    }
}

/// Runs the policy for `duration`, starting with `initial_events`, and returns its calls.
///
/// `answer` returns the answer to a call; its arguments are the time of the call and the id of the route.
/// `attempts` holds the number of attempts of each message, and must be passed on to the next run of the same
/// policy.
pub fn play_calls(
    harness: &mut Harness,
    initial_events: Vec<Event>,
    duration: Millis,
    attempts: &mut BTreeMap<u32, u32>,
    mut answer: impl FnMut(Millis, u64) -> Answer,
) -> Vec<Call> {
    let mut due_answers: Vec<(Millis, Event)> = Vec::new();
    let mut events = initial_events;
    let mut calls = Vec::new();
    let mut token = 0;
    let end = harness.now + duration;
    while harness.now < end {
        events.push(Event::Wake(token));
        for action in harness.step(5.0, &std::mem::take(&mut events)) {
            match action {
                Action::Wake { token: next_token, .. } => token = next_token,
                Action::Send { id, route, .. } => {
                    let attempt = attempts.entry(id.0).or_default();
                    let answer = answer(harness.now, route.0);
                    let event = outcome(id.0, *attempt, answer.outcome, answer.retry_after);
                    due_answers.push((harness.now + answer.delay, event));
                    calls.push(Call { at: harness.now, message: id.0, route: route.0 });
                    *attempt += 1;
                }
                _ => {}
            }
        }
        let now = harness.now;
        events.extend(due_answers.iter().filter(|(at, _)| *at <= now).map(|(_, event)| event.clone()));
        due_answers.retain(|(at, _)| *at > now);
    }
    calls
}
