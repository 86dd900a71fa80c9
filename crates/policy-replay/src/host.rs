//! The simulated host: submits messages, carries out what the policy returns, and reports outcomes when due.

use std::collections::BTreeMap;

use crate::attempt::AttemptOutcome;
use crate::input::{Input, InstanceInput};
use crate::instance::Instance;
use crate::list::{ListEntry, initial_entries};
use crate::output::{InstanceOutput, Output};
use crate::random::Random;
use crate::receivers::{CallResult, Receivers, TICKS_PER_MS};
use crate::recording::Recording;
use crate::session::Session;

/// Time of the first batch, in ms.
const STARTS_AT: u64 = 1_000;

/// The policy under test, behind some interface.
pub trait Adapter {
    /// Applies a batch of inputs at a time in ms.
    fn handle(&mut self, batch: u32, now: f64, inputs: &[InstanceInput]) -> Reply;
}

/// The reply to a batch.
#[derive(Debug)]
pub struct Reply {
    /// What the golden file's hashes are of.
    pub bytes: Vec<u8>,
    /// What the host is to do.
    pub outputs: Vec<InstanceOutput>,
}

/// The state of a session that is played.
#[derive(Debug)]
pub(crate) struct Host<'a> {
    pub session: &'a Session,
    pub random: Random,
    /// In ticks.
    pub now: u64,
    pub entries: Vec<ListEntry>,
    pub next_message: u32,
    pub next_permit: u64,
    pub instances: Vec<Instance>,
    receivers: Receivers,
    sequence: u64,
}

/// Plays a whole session.
pub fn play(session: &Session, adapter: &mut impl Adapter) -> Recording {
    let mut host = Host::new(session);
    let mut recording = Recording::new(session.name, session.seed);
    for batch in 1..=session.batches {
        host.advance();
        let inputs = host.inputs();
        for (_, input) in &inputs {
            recording.count(input.name());
        }
        let reply = adapter.handle(batch, host.now as f64 / TICKS_PER_MS as f64, &inputs);
        recording.add_reply(&reply.bytes);
        for (_, output) in &reply.outputs {
            recording.count(output.name());
        }
        host.carry_out(&reply.outputs);
    }
    recording
}

impl<'a> Host<'a> {
    fn new(session: &'a Session) -> Self {
        let mut random = Random::new(session.seed);
        let entries = initial_entries(&mut random);
        Self {
            session,
            random,
            now: STARTS_AT * TICKS_PER_MS,
            entries,
            next_message: 1,
            next_permit: 1,
            instances: session.settings.iter().map(|_| Instance::default()).collect(),
            receivers: Receivers::default(),
            sequence: 0,
        }
    }

    /// Advances the clock to the next input that is due, or by a random time; sometimes the host stalls.
    fn advance(&mut self) {
        let draw = self.random.below(1_000);
        let stalls = draw < 17;
        let span = match draw {
            0..2 => self.random.between(30_000, 70_000),
            2..17 => self.random.between(300, 2_500),
            _ => self.random.between(1, 80),
        } * TICKS_PER_MS;
        let due = self.instances.iter().filter_map(Instance::next_due_at).min();
        let next = self.now + span;
        let next = if stalls { next } else { next.min(due.unwrap_or(next)) };
        self.now = next.max(self.now + 1);
        self.receivers.advance(self.now, &self.entries, self.session.steady, &mut self.random);
    }

    fn inputs(&mut self) -> Vec<InstanceInput> {
        let mut inputs = Vec::new();
        for index in 0..self.instances.len() {
            let mut of_instance = self.instances[index].take_due(self.now);
            of_instance.extend(self.new_inputs(index));
            inputs.extend(of_instance.into_iter().map(|input| (index as u32, input)));
        }
        inputs
    }

    /// Schedules an input in this many ticks.
    pub fn schedule(&mut self, index: usize, after: u64, input: Input) {
        self.sequence += 1;
        self.instances[index].schedule(self.now + after, self.sequence, input);
    }

    fn carry_out(&mut self, outputs: &[InstanceOutput]) {
        // Messages of one batch by one route share a call, and mostly its result.
        let mut calls = BTreeMap::new();
        for &(instance, output) in outputs {
            let index = instance as usize;
            match output {
                Output::Send { id, route, timeout } => {
                    let has_own_result = self.random.per_mille(100);
                    let shared = calls.get(&(index, route)).copied().filter(|_| !has_own_result);
                    let result = shared.unwrap_or_else(|| self.call(route, timeout));
                    calls.insert((index, route), result);
                    self.begin_attempt(index, id, route, result);
                }
                Output::Refuse { id } | Output::Fail { id } => self.instances[index].complete(id),
                Output::Cancel { id, attempt } => self.cancel(index, id, attempt),
                Output::Wake { delay, token } => {
                    let after = (delay * TICKS_PER_MS as f64).ceil() as u64;
                    self.schedule(index, after, Input::Wake { token });
                }
                Output::Subscribe => self.subscribe(index),
                Output::HealthCheck | Output::Remember => {}
            }
        }
    }

    fn call(&mut self, route: u64, timeout: f64) -> CallResult {
        let entry = self.entries.iter().find(|entry| entry.route == route).expect("a listed route");
        self.receivers.call(self.now, entry, timeout, &mut self.random)
    }

    fn begin_attempt(&mut self, index: usize, id: u32, route: u64, result: CallResult) {
        let Some(attempt) = self.instances[index].begin_attempt(self.now, id, route) else { return };
        if self.random.per_mille(40) {
            self.schedule(index, result.after / 2, Input::Started { id, attempt });
        }
        let CallResult { after, outcome, retry_after } = result;
        let completed = outcome == AttemptOutcome::Ok || self.random.per_mille(30);
        self.schedule(index, after, Input::Outcome { id, attempt, outcome, retry_after, completed });
    }

    fn cancel(&mut self, index: usize, id: u32, attempt: u32) {
        let after = self.random.between(1, 20) * TICKS_PER_MS;
        let completed = self.random.per_mille(100);
        let outcome = AttemptOutcome::Cancelled;
        self.schedule(index, after, Input::Outcome { id, attempt, outcome, retry_after: 0, completed });
    }
}
