//! A simulated host: hands messages in, carries out what comes back, and tells the outcomes when they are due.

use std::collections::BTreeMap;

use crate::exchange::*;
use crate::golden::Recording;
use crate::inputs;
use crate::partner::{PER_MS, Partners};
use crate::random::Random;

/// What is played: the program behind some interface.
pub trait Adapter {
    /// Hands a batch in; the bytes that it is judged by, and what they ask the host to do.
    fn answer(&mut self, number: u32, now: f64, inputs: &[(u32, Input)]) -> (Vec<u8>, Vec<(u32, Output)>);
}

/// What a session is made of.
pub struct Session {
    pub name: &'static str,
    pub seed: u64,
    pub batches: u32,
    /// The settings of each instance, as JSON text.
    pub settings: &'static [&'static str],
    /// Whether it has the events that the wire has no frame for.
    pub module_only: bool,
    /// Whether rights are kept: no call without a turn.
    pub permits: bool,
    /// Whether partners are sound but for calls that hang, and most messages go to one destination.
    pub steady: bool,
}

/// A message that an instance was handed.
pub struct MessageState {
    pub message: MessageInput,
    pub attempts: u32,
    pub out: Option<u32>,
    /// The first attempt that may have taken effect: when, and by which route.
    pub ran: Option<(u64, u64)>,
    pub last: (u64, u64),
    pub over: bool,
    pub streamed: bool,
}

/// An instance, and what it is to be told later.
#[derive(Default)]
pub struct Instance {
    pub up: bool,
    pub messages: BTreeMap<u32, MessageState>,
    due: BTreeMap<(u64, u64), Input>,
}

pub struct Host<'a> {
    pub session: &'a Session,
    pub random: Random,
    pub now: u64,
    pub lines: Vec<RouteLine>,
    pub next_id: u32,
    pub next_turn: u64,
    pub instances: Vec<Instance>,
    partners: Partners,
    sequence: u64,
}

/// Plays a whole session.
pub fn play(session: &Session, adapter: &mut impl Adapter) -> Recording {
    let mut random = Random::new(session.seed);
    let lines = inputs::first_lines(&mut random);
    let mut host = Host {
        session,
        random,
        now: 1_000 * PER_MS,
        lines,
        next_id: 1,
        next_turn: 1,
        instances: session.settings.iter().map(|_| Instance::default()).collect(),
        partners: Partners::default(),
        sequence: 0,
    };
    let mut recording = Recording::new(session.name, session.seed);
    for number in 1..=session.batches {
        host.advance();
        let inputs = host.batch();
        inputs.iter().for_each(|(_, input)| recording.count(input.name()));
        let (bytes, outputs) = adapter.answer(number, host.now as f64 / PER_MS as f64, &inputs);
        recording.answered(&bytes);
        outputs.iter().for_each(|(_, output)| recording.count(output.name()));
        host.carry_out(&outputs);
    }
    recording
}

impl Host<'_> {
    /// Time goes on to what is due next, or for a random while; at times the host stands still for longer.
    fn advance(&mut self) {
        let chance = self.random.below(1_000);
        let still = chance < 17;
        let span = match chance {
            0..2 => self.random.between(30_000, 70_000),
            2..17 => self.random.between(300, 2_500),
            _ => self.random.between(1, 80),
        } * PER_MS;
        let due = self.instances.iter().filter_map(|i| i.due.keys().next()).map(|key| key.0).min();
        let next = self.now + span;
        let next = if still { next } else { next.min(due.unwrap_or(next)) };
        self.now = next.max(self.now + 1);
        self.partners.advance(self.now, &self.lines, self.session.steady, &mut self.random);
    }

    fn batch(&mut self) -> Vec<(u32, Input)> {
        let mut inputs = Vec::new();
        for index in 0..self.instances.len() {
            let mut now = self.due(index);
            now.extend(self.new_inputs(index));
            inputs.extend(now.into_iter().map(|t| (index as u32, t)));
        }
        inputs
    }

    pub fn later(&mut self, index: usize, after: u64, input: Input) {
        self.sequence += 1;
        self.instances[index].due.insert((self.now + after, self.sequence), input);
    }

    /// What an instance was to be told by now, without outcomes of attempts that have ended otherwise.
    fn due(&mut self, index: usize) -> Vec<Input> {
        let instance = &mut self.instances[index];
        let later = instance.due.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut instance.due, later);
        due.into_values().filter_map(|input| instance.still_holds(input)).collect()
    }

    fn carry_out(&mut self, outputs: &[(u32, Output)]) {
        // Messages of one batch to one route share a call, and mostly its outcome.
        let mut calls = BTreeMap::new();
        for &(instance, output) in outputs {
            let index = instance as usize;
            match output {
                Output::Send { id, route, timeout } => {
                    let apart = self.random.per_mille(100);
                    let shared = calls.get(&(index, route)).copied().filter(|_| !apart);
                    let answer = shared.unwrap_or_else(|| {
                        let line = self.lines.iter().find(|line| line.route == route).expect("listed once");
                        self.partners.answer(self.now, line, timeout, &mut self.random)
                    });
                    calls.insert((index, route), answer);
                    let Some(attempt) = self.instances[index].begin(self.now, id, route) else { continue };
                    if self.random.per_mille(40) {
                        self.later(index, answer.after / 2, Input::Started { id, attempt });
                    }
                    let closed = answer.end == AttemptEnd::Ok || self.random.per_mille(30);
                    let (end, wait) = (answer.end, answer.wait);
                    self.later(index, answer.after, Input::Outcome { id, attempt, end, wait, closed });
                }
                Output::Refuse { id } | Output::Fail { id } => self.instances[index].end(id),
                Output::Cancel { id, attempt } => {
                    let after = self.random.between(1, 20) * PER_MS;
                    let (end, closed) = (AttemptEnd::Cancelled, self.random.per_mille(100));
                    self.later(index, after, Input::Outcome { id, attempt, end, wait: 0, closed });
                }
                Output::Wake { delay, token } => {
                    let after = (delay * PER_MS as f64).ceil() as u64;
                    self.later(index, after, Input::Wake { token });
                }
                Output::Subscribe => self.subscribed(index),
                Output::Probe | Output::Remember => {}
            }
        }
    }
}

impl Instance {
    fn begin(&mut self, now: u64, id: u32, route: u64) -> Option<u32> {
        let kept = self.messages.get_mut(&id)?;
        let attempt = kept.attempts;
        (kept.attempts, kept.out, kept.last) = (attempt + 1, Some(attempt), (now, route));
        Some(attempt)
    }

    fn end(&mut self, id: u32) {
        self.messages.entry(id).and_modify(|kept| kept.over = true);
    }

    /// What is told of it now; nothing of an attempt that has ended otherwise.
    fn still_holds(&mut self, input: Input) -> Option<Input> {
        match input {
            Input::Outcome { id, attempt, end, wait, closed } => {
                let kept = self.messages.get_mut(&id).filter(|kept| kept.out == Some(attempt))?;
                kept.out = None;
                kept.over |= closed;
                let ran = matches!(
                    end,
                    AttemptEnd::Ok
                        | AttemptEnd::Error
                        | AttemptEnd::Timeout
                        | AttemptEnd::Reset
                        | AttemptEnd::Cancelled
                );
                kept.ran = kept.ran.or(ran.then_some(kept.last));
                Some(Input::Outcome { id, attempt, end, wait, closed })
            }
            Input::Started { id, attempt } => {
                let kept = self.messages.get_mut(&id).filter(|kept| kept.out == Some(attempt))?;
                kept.streamed = true;
                Some(input)
            }
            _ => Some(input),
        }
    }

    /// It forgets all, as when its process ends; messages that were not over are still owed their end.
    pub fn forget(&mut self) -> Vec<MessageState> {
        self.up = false;
        self.due.clear();
        std::mem::take(&mut self.messages).into_values().filter(|kept| !kept.over).collect()
    }
}
