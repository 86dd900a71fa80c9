//! Random legal streams of events.

use std::collections::BTreeMap;

use proptest::prelude::{Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{IDEMPOTENT, KEYED_ALL, KEYED_ZONE};
use crate::common::{Harness, keyed_message};
use rudderspindle_policy::interface::{
    Action, Class, Effect, Event, ListChange, Listing, MessageHandle, Millis, Outcome, RouteEntry,
};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

#[derive(Clone, Debug)]
enum Step {
    Message { class: usize, destination: u16, key: u64 },
    Answer { pick: usize, outcome: u8, wait: u16 },
    Drop { pick: usize },
    List { route: u64, listing: u8 },
    Pass { ms: u16 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..4, 0u16..3, 0u64..3).prop_map(|(class, destination, key)| Step::Message {
            class,
            destination,
            key
        }),
        6 => (any::<usize>(), 0u8..8, 0u16..3_000).prop_map(|(pick, outcome, wait)| Step::Answer {
            pick,
            outcome,
            wait
        }),
        1 => any::<usize>().prop_map(|pick| Step::Drop { pick }),
        1 => (0u64..6, 0u8..3).prop_map(|(route, listing)| Step::List { route, listing }),
        5 => (1u16..400).prop_map(|ms| Step::Pass { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

fn listed(route: u64) -> RouteEntry {
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

/// An attempt without an outcome.
#[derive(Clone, Copy, PartialEq)]
struct InFlight {
    id: u32,
    attempt: u32,
    times_out_at: Millis,
}

/// A host that turns random steps into legal events.
struct RandomHost {
    harness: Harness,
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<u32, u32>,
    events: Vec<Event>,
    next_message: u32,
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
            events: vec![list((0..6).map(listed).collect())],
            next_message: 0,
            wake_token: 0,
        }
    }

    /// Takes a step, and advances the clock by its time.
    fn take(&mut self, step: &Step) {
        let mut after = 5.0;
        match *step {
            Step::Message { class, destination, key } => {
                self.events.push(keyed_message(self.next_message, class, destination, key));
                self.next_message += 1;
            }
            Step::Answer { pick, outcome: code, wait } if !self.in_flight.is_empty() => {
                let answered = self.in_flight.remove(pick % self.in_flight.len());
                let code = OUTCOMES[usize::from(code)];
                self.events.push(outcome(answered.id, answered.attempt, code, f64::from(wait)));
            }
            Step::Drop { pick } if self.next_message > 0 => {
                let id = (pick % self.next_message as usize) as u32;
                self.events.push(Event::Dropped(MessageHandle(id)));
            }
            Step::List { route, listing } => {
                let entry = RouteEntry { listing: LISTINGS[usize::from(listing)], ..listed(route) };
                self.events.push(Event::List(ListChange::Delta(vec![entry])));
            }
            Step::Pass { ms } => after = f64::from(ms),
            Step::Answer { .. } | Step::Drop { .. } => {}
        }
        self.pass(after);
    }

    fn pass(&mut self, span: Millis) {
        let end = self.harness.now + span;
        while self.harness.now < end {
            let after = (end - self.harness.now).min(10.0);
            self.report_time_outs(self.harness.now + after);
            self.events.push(Event::Wake(self.wake_token));
            for action in self.harness.step(after, &std::mem::take(&mut self.events)) {
                match action {
                    Action::Wake { token, .. } => self.wake_token = token,
                    Action::Send { id, timeout, .. } => self.begin_attempt(id.0, timeout),
                    _ => {}
                }
            }
        }
    }

    /// Reports the attempts whose time-out has passed.
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
fn random_legal_streams_break_no_rule() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let check = |steps: Vec<Step>| {
        let mut host = RandomHost::new();
        for step in &steps {
            host.take(step);
        }
        Ok(())
    };
    runner.run(&steps(), check).expect("every rule kept");
}
