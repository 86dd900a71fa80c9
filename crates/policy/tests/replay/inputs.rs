//! What befalls an instance of its own accord: its start and end, the list, messages, and odd or late words.

use crate::exchange::*;
use crate::host::{Host, MessageState};
use crate::module_only;
use crate::partner::PER_MS;
use crate::random::Random;

/// Routes of each destination at the start.
const ROUTES: [u64; 7] = [1, 2, 3, 4, 2, 1, 3];
const CLASSES: u64 = 7;
/// Where most messages of a steady session go.
const MOST_SENT_TO: u16 = 3;

fn line(destination: u16, number: u64, random: &mut Random) -> RouteLine {
    let address = (10 << 24) | (u64::from(destination) << 8) | number;
    let (zone, kind) = ((number % 2) as u8, destination % 4);
    let rate = random.between(2, 30) as f32;
    RouteLine { route: address << 16 | (8_000 + number), destination, zone, kind, listing: 1, rate }
}

pub fn first_lines(random: &mut Random) -> Vec<RouteLine> {
    let mut lines = Vec::new();
    for (destination, &routes) in ROUTES.iter().enumerate() {
        lines.extend((0..routes).map(|number| line(destination as u16, number, random)));
    }
    lines
}

impl Host<'_> {
    /// Everything new for an instance in this batch.
    pub fn new_inputs(&mut self, index: usize) -> Vec<Input> {
        let mut inputs = Vec::new();
        if !self.instances[index].up {
            if self.random.per_mille(100) {
                self.bring_up(index, Vec::new(), &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(3) {
            let owed = self.instances[index].forget();
            if self.random.per_mille(500) {
                inputs.push(Input::PowerOff);
            } else {
                // It is replaced by a new one at once.
                self.bring_up(index, owed, &mut inputs);
            }
            return inputs;
        }
        if self.random.per_mille(25) {
            inputs.push(self.list_change());
        }
        for _ in 0..self.arrivals() {
            let message = self.message();
            self.keep(index, &message, 0);
            inputs.push(Input::Message(message));
        }
        inputs.extend(self.dropped(index));
        inputs.extend(self.odd());
        if self.session.module_only {
            module_only::new_inputs(self, index, &mut inputs);
        }
        inputs
    }

    fn bring_up(&mut self, index: usize, owed: Vec<MessageState>, inputs: &mut Vec<Input>) {
        self.instances[index].up = true;
        inputs.push(Input::Up { seed: self.random.next(), settings: self.session.settings[index] });
        if self.session.module_only {
            module_only::modes(self, inputs);
        }
        let change = if self.random.per_mille(500) { Change::Full } else { Change::Cached };
        inputs.push(Input::List { change, lines: self.lines.clone() });
        if self.session.module_only {
            module_only::owed(self, index, owed, inputs);
        }
    }

    fn arrivals(&mut self) -> u64 {
        match self.random.below(100) {
            _ if self.session.steady => self.random.below(3),
            0..3 => self.random.between(5, 25),
            3..40 => self.random.between(1, 2),
            _ => 0,
        }
    }

    pub fn message(&mut self) -> MessageInput {
        let id = self.next_id;
        self.next_id += 1;
        // At times one of a class, a tenant or a destination that is not known.
        let class = if self.random.per_mille(5) { 200 } else { self.random.below(CLASSES) as u8 };
        let tenant = self.random.below(3) as u32;
        let ordering_key = if self.random.per_mille(700) { self.random.between(1, 6) } else { 0 };
        let time_left = self.random.between(400, 9_000) as f64;
        let work_guess = self.random.per_mille(400).then_some(500.0);
        let most = self.session.steady && self.random.per_mille(500);
        let drawn = self.random.below(ROUTES.len() as u64 + 1) as u16;
        let destination = if most { MOST_SENT_TO } else { drawn };
        MessageInput { id, class, tenant, ordering_key, time_left, work_guess, destination }
    }

    pub fn keep(&mut self, index: usize, message: &MessageInput, attempts: u32) {
        let (message, over, streamed) = (message.clone(), false, false);
        let kept = MessageState { message, attempts, out: None, ran: None, last: (0, 0), over, streamed };
        self.instances[index].messages.insert(kept.message.id, kept);
    }

    fn dropped(&mut self, index: usize) -> Option<Input> {
        let open = |(_, kept): &(&u32, &MessageState)| !kept.over;
        let open: Vec<u32> = self.instances[index].messages.iter().filter(open).map(|(id, _)| *id).collect();
        if open.is_empty() || !self.random.per_mille(30) {
            return None;
        }
        let id = self.random.pick(&open);
        self.instances[index].messages.entry(id).and_modify(|kept| kept.over = true);
        Some(Input::Dropped { id })
    }

    /// A probe's result, a note of another instance, and words that concern nothing known.
    fn odd(&mut self) -> Option<Input> {
        let (id, attempt) = (self.random.between(1, u64::from(self.next_id) + 5) as u32, 99);
        match self.random.below(400) {
            0..8 => Some(Input::Peer),
            8..20 => {
                let lines = &self.lines;
                let route = lines[self.random.below(lines.len() as u64) as usize].route;
                Some(Input::HealthChecked { route, end: self.random.pick(&AttemptEnd::ALL[..8]) })
            }
            20 => Some(Input::Wake { token: self.random.below(1_000) }),
            21 => Some(Input::Started { id, attempt }),
            22 => Some(Input::Outcome { id, attempt, end: AttemptEnd::Ok, wait: 0, closed: false }),
            23 => Some(Input::Dropped { id: self.next_id + 1_000_000 }),
            _ => None,
        }
    }

    fn list_change(&mut self) -> Input {
        match self.random.below(10) {
            0 => Input::List { change: Change::Failed, lines: Vec::new() },
            1 => Input::List { change: Change::Full, lines: self.lines.clone() },
            2 => Input::List { change: Change::Cached, lines: self.part_of_lines() },
            3 => Input::List { change: Change::Full, lines: self.part_of_lines() },
            4 => self.new_line(),
            _ => self.changed_line(),
        }
    }

    /// The list without some of its lines: these are gone for those who take it for the whole.
    fn part_of_lines(&mut self) -> Vec<RouteLine> {
        let mut lines = self.lines.clone();
        lines.retain(|_| !self.random.per_mille(150));
        lines
    }

    fn new_line(&mut self) -> Input {
        let destination = self.random.below(ROUTES.len() as u64) as u16;
        let number = 16 + self.random.below(4);
        let line = line(destination, number, &mut self.random);
        if !self.lines.iter().any(|known| known.route == line.route) {
            self.lines.push(line.clone());
        }
        Input::List { change: Change::Delta, lines: vec![line] }
    }

    fn changed_line(&mut self) -> Input {
        let at = self.random.below(self.lines.len() as u64) as usize;
        self.lines[at].listing = self.random.pick(&[0, 1, 1, 1, 2]);
        Input::List { change: Change::Delta, lines: vec![self.lines[at].clone()] }
    }

    pub fn subscribed(&mut self, index: usize) {
        let after = self.random.between(20, 100) * PER_MS;
        let failed = self.random.per_mille(300);
        let (change, lines) =
            if failed { (Change::Failed, Vec::new()) } else { (Change::Full, self.lines.clone()) };
        self.later(index, after, Input::List { change, lines });
    }
}
