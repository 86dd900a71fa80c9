//! Property test: random streams of valid events never make the policy violate a delivery rule.

use std::collections::BTreeMap;

use proptest::prelude::{Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{IDEMPOTENT, KEYED_ALL, KEYED_ZONE};
use crate::common::{Harness, keyed_message};
use rudderspindle_policy::interface::{
    Action, Class, Effect, Event, ListChange, Listing, MessageHandle, Millis, Outcome, RouteEntry,
};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

/// A random step of the stream. `pick`, modulo the number of attempts in flight or of messages, is the index
/// of one of them.
#[derive(Clone, Debug)]
enum Step {
    Message { class: usize, destination: u16, key: u64 },
    Answer { pick: usize, outcome: u8, retry_after_ms: u16 },
    Disconnect { pick: usize },
    List { route: u64, listing: u8 },
    Advance { ms: u16 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..4, 0u16..3, 0u64..3).prop_map(|(class, destination, key)| Step::Message {
            class,
            destination,
            key
        }),
        6 => (any::<usize>(), 0u8..8, 0u16..3_000).prop_map(|(pick, outcome, retry_after_ms)| Step::Answer {
            pick,
            outcome,
            retry_after_ms
        }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (0u64..6, 0u8..3).prop_map(|(route, listing)| Step::List { route, listing }),
        5 => (1u16..400).prop_map(|ms| Step::Advance { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// Returns the list entry of a route; each of the destinations 0 to 2 has two.
fn listed_entry(route: u64) -> RouteEntry {
    let destination = (route / 2) as u16;
    entry(route, destination, destination, (route % 2) as u8)
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const LISTINGS: [Listing; 3] = [Listing::Removed, Listing::Ready, Listing::Draining];

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, PartialEq)]
struct InFlight {
    id: u32,
    attempt: u32,
    times_out_at: Millis,
}

/// A host that turns random steps into valid events.
struct RandomHost {
    harness: Harness,
    in_flight: Vec<InFlight>,
    /// Number of attempts of each message.
    attempts: BTreeMap<u32, u32>,
    /// Events of the next batch.
    events: Vec<Event>,
    /// Id of the next message.
    next_message: u32,
    /// Token of the last wake-up that the policy has requested.
    wake_token: u64,
}

impl RandomHost {
    fn new() -> Self {
        let ordered = Class { ordered: true, ..class(KEYED_ALL) };
        let classes = vec![class(IDEMPOTENT), class(KEYED_ZONE), class(Effect::NotIdempotent), ordered];
        Self {
            harness: Harness::new(settings(classes), 3),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            events: vec![list((0..6).map(listed_entry).collect())],
            next_message: 0,
            wake_token: 0,
        }
    }

    /// Adds the event of a step, and advances the clock by the duration of the step.
    fn apply(&mut self, step: &Step) {
        let mut duration = 5.0;
        match *step {
            Step::Message { class, destination, key } => {
                self.events.push(keyed_message(self.next_message, class, destination, key));
                self.next_message += 1;
            }
            Step::Answer { pick, outcome: outcome_index, retry_after_ms } if !self.in_flight.is_empty() => {
                let answered = self.in_flight.remove(pick % self.in_flight.len());
                let attempt_outcome = OUTCOMES[usize::from(outcome_index)];
                self.events.push(outcome(
                    answered.id,
                    answered.attempt,
                    attempt_outcome,
                    f64::from(retry_after_ms),
                ));
            }
            Step::Disconnect { pick } if self.next_message > 0 => {
                let id = (pick % self.next_message as usize) as u32;
                self.events.push(Event::ClientDisconnected(MessageHandle(id)));
            }
            Step::List { route, listing } => {
                let entry = RouteEntry { listing: LISTINGS[usize::from(listing)], ..listed_entry(route) };
                self.events.push(Event::List(ListChange::Delta(vec![entry])));
            }
            Step::Advance { ms } => duration = f64::from(ms),
            Step::Answer { .. } | Step::Disconnect { .. } => {}
        }
        self.advance(duration);
    }

    /// Advances the clock by at most 10 ms at a time, and starts the attempts that the policy sends.
    fn advance(&mut self, duration: Millis) {
        let end = self.harness.now + duration;
        while self.harness.now < end {
            let step_duration = (end - self.harness.now).min(10.0);
            self.report_time_outs(self.harness.now + step_duration);
            self.events.push(Event::Wake(self.wake_token));
            for action in self.harness.step(step_duration, &std::mem::take(&mut self.events)) {
                match action {
                    Action::Wake { token, .. } => self.wake_token = token,
                    Action::Send { id, timeout, .. } => self.begin_attempt(id.0, timeout),
                    _ => {}
                }
            }
        }
    }

    /// Adds outcomes of the attempts whose time-out has passed.
    fn report_time_outs(&mut self, now: Millis) {
        let timed_out = self.in_flight.iter().filter(|attempt| attempt.times_out_at <= now);
        let timed_out: Vec<InFlight> = timed_out.copied().collect();
        self.in_flight.retain(|attempt| !timed_out.contains(attempt));
        let outcomes =
            timed_out.iter().map(|attempt| outcome(attempt.id, attempt.attempt, Outcome::Timeout, 0.0));
        self.events.extend(outcomes);
    }

    fn begin_attempt(&mut self, id: u32, timeout: Millis) {
        let attempts = self.attempts.entry(id).or_default();
        let times_out_at = self.harness.now + timeout;
        self.in_flight.push(InFlight { id, attempt: *attempts, times_out_at });
        *attempts += 1;
    }
}

#[test]
fn random_valid_streams_violate_no_rule() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let check = |steps: Vec<Step>| {
        let mut host = RandomHost::new();
        for step in &steps {
            host.apply(step);
        }
        Ok(())
    };
    runner.run(&steps(), check).expect("no delivery rule violated");
}
