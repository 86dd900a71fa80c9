//! The simulated host: submits messages, executes the policy's outputs, and reports outcomes when they are
//! due.

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

/// Time of the session's clock at its start, in ms.
const START_TIME_MS: u64 = 1_000;

/// Interface to the policy under test.
pub trait Adapter {
    /// Passes a batch of inputs to the policy instances; `now` is in ms.
    fn handle(&mut self, batch: u32, now: f64, inputs: &[InstanceInput]) -> Reply;
}

/// The reply to a batch.
#[derive(Debug)]
pub struct Reply {
    /// Bytes that are added to the hashes of the golden file.
    pub bytes: Vec<u8>,
    /// Outputs that the host executes, in this order.
    pub outputs: Vec<InstanceOutput>,
}

/// The state of a session that is played.
#[derive(Debug)]
pub(crate) struct Host<'a> {
    pub session: &'a Session,
    pub random: Random,
    /// Time of the session's clock, in ticks.
    pub now: u64,
    pub entries: Vec<ListEntry>,
    pub next_message: u32,
    pub next_permit: u64,
    pub instances: Vec<Instance>,
    receivers: Receivers,
    /// Number of inputs scheduled so far.
    scheduled_count: u64,
}

/// Plays a session to its end.
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
        host.execute_outputs(&reply.outputs);
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
            now: START_TIME_MS * TICKS_PER_MS,
            entries,
            next_message: 1,
            next_permit: 1,
            instances: session.settings.iter().map(|_| Instance::default()).collect(),
            receivers: Receivers::default(),
            scheduled_count: 0,
        }
    }

    /// Advances the clock by a random time, but not beyond the next input that is due unless the host stalls.
    fn advance(&mut self) {
        let draw = self.random.below(1_000);
        let stalls = draw < 17;
        let step_ticks = match draw {
            0..2 => self.random.between(30_000, 70_000),
            2..17 => self.random.between(300, 2_500),
            _ => self.random.between(1, 80),
        } * TICKS_PER_MS;
        let next_due_at = self.instances.iter().filter_map(Instance::next_due_at).min();
        let next = self.now + step_ticks;
        let next = if stalls { next } else { next.min(next_due_at.unwrap_or(next)) };
        self.now = next.max(self.now + 1);
        self.receivers.advance(self.now, &self.entries, self.session.steady, &mut self.random);
    }

    fn inputs(&mut self) -> Vec<InstanceInput> {
        let mut inputs = Vec::new();
        for instance_index in 0..self.instances.len() {
            let mut instance_inputs = self.instances[instance_index].take_due_inputs(self.now);
            instance_inputs.extend(self.new_inputs(instance_index));
            inputs.extend(instance_inputs.into_iter().map(|input| (instance_index as u32, input)));
        }
        inputs
    }

    /// Schedules an input that is due after `delay_ticks`.
    pub fn schedule(&mut self, instance_index: usize, delay_ticks: u64, input: Input) {
        self.scheduled_count += 1;
        self.instances[instance_index].schedule(self.now + delay_ticks, self.scheduled_count, input);
    }

    fn execute_outputs(&mut self, outputs: &[InstanceOutput]) {
        // Messages that an instance sends by the same route in one batch share a call, and mostly its result.
        let mut results = BTreeMap::new();
        for &(instance_number, output) in outputs {
            let instance_index = instance_number as usize;
            match output {
                Output::Send { id, route, timeout } => {
                    let has_own_result = self.random.per_mille(100);
                    let shared = results.get(&(instance_index, route)).copied().filter(|_| !has_own_result);
                    let result = shared.unwrap_or_else(|| self.call(route, timeout));
                    results.insert((instance_index, route), result);
                    self.begin_attempt(instance_index, id, route, result);
                }
                Output::Refuse { id } | Output::Fail { id } => self.instances[instance_index].complete(id),
                Output::Cancel { id, attempt } => self.cancel(instance_index, id, attempt),
                Output::Wake { delay, token } => {
                    let delay_ticks = (delay * TICKS_PER_MS as f64).ceil() as u64;
                    self.schedule(instance_index, delay_ticks, Input::Wake { token });
                }
                Output::Subscribe => self.subscribe(instance_index),
                Output::HealthCheck | Output::Remember => {}
            }
        }
    }

    fn call(&mut self, route: u64, timeout: f64) -> CallResult {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.route == route)
            .expect("the policy sends by listed routes only");
        self.receivers.call(self.now, entry, timeout, &mut self.random)
    }

    fn begin_attempt(&mut self, instance_index: usize, id: u32, route: u64, result: CallResult) {
        let Some(attempt) = self.instances[instance_index].begin_attempt(self.now, id, route) else { return };
        if self.random.per_mille(40) {
            self.schedule(instance_index, result.delay_ticks / 2, Input::Started { id, attempt });
        }
        let CallResult { delay_ticks, outcome, retry_after } = result;
        let completed = outcome == AttemptOutcome::Ok || self.random.per_mille(30);
        self.schedule(
            instance_index,
            delay_ticks,
            Input::Outcome { id, attempt, outcome, retry_after, completed },
        );
    }

    fn cancel(&mut self, instance_index: usize, id: u32, attempt: u32) {
        let delay_ticks = self.random.between(1, 20) * TICKS_PER_MS;
        let completed = self.random.per_mille(100);
        let outcome = AttemptOutcome::Cancelled;
        self.schedule(
            instance_index,
            delay_ticks,
            Input::Outcome { id, attempt, outcome, retry_after: 0, completed },
        );
    }
}
