//! The judge: reads a log and says of each of the six rules whether it was kept, and where every message went.
//!
//! It believes the stand-ins and clients alone. A sender is judged by what came out of it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

use serde::Serialize;

use crate::event_log::{Class, Effect, Endpoint, Event, Group, Life, Line, Rules};

/// A stand-in that was later than this puts the whole run in doubt, microseconds.
pub const LATE_US: u64 = 50_000;
/// Calls beyond a cold endpoint's budget that chance is allowed.
const FALL_SLACK: f64 = 3.0;
/// Share of what pushed an endpoint over that must come from senders that knew of the outage.
const FALL_SHARE: f64 = 2.0 / 3.0;

/// The six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A message that was taken on has exactly one end, in time.
    Lost,
    /// No effect beyond what its class allows, and never two attempts out.
    Doubled,
    /// Nothing new to an endpoint that drains or is gone.
    Drains,
    /// An endpoint that returns is not pushed over.
    Return,
    /// Messages of one ordering key go one at a time, in their order.
    Order,
    /// Nothing is sent within a told wait.
    Waits,
}

impl Rule {
    /// All of them, in the order of the brief.
    pub const ALL: [Self; 6] =
        [Self::Lost, Self::Doubled, Self::Drains, Self::Return, Self::Order, Self::Waits];

    fn name(self) -> &'static str {
        match self {
            Self::Lost => "no message is lost",
            Self::Doubled => "no effect happens twice",
            Self::Drains => "drains are kept",
            Self::Return => "nobody who returns is pushed over",
            Self::Order => "order is kept",
            Self::Waits => "waits are heeded",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which one.
    pub rule: Rule,
    /// By what.
    pub what: String,
    /// The lines of the log that prove it, from 1.
    pub lines: Vec<usize>,
}

/// Where the messages went. Figures count hand-ins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Accounting {
    /// Handed in, whole.
    pub handed_in: u64,
    /// Answered with 200 or 202.
    pub taken_on: u64,
    /// Answered with 429 or 503.
    pub refused_at_the_door: u64,
    /// Answered with another status.
    pub failed_at_the_door: u64,
    /// Not answered while the client listened.
    pub unheard: u64,
    /// Of those taken on: delivered.
    pub delivered: u64,
    /// Refused by a notice.
    pub refused: u64,
    /// Failed by a notice.
    pub failed: u64,
    /// Without an end, and its time is not yet up or its sender is not back.
    pub open: u64,
    /// Without an end in time.
    pub lost: u64,
    /// Keyed or unsafe messages that took effect more than once.
    pub doubled: u64,
    /// Delivered within the wanted time.
    pub in_time: u64,
    /// Delivered after it.
    pub late: u64,
    /// Calls, and those answered with 429 or 503.
    pub calls: u64,
    /// See [`Accounting::calls`].
    pub calls_refused: u64,
}

/// How hard a gate was pushed when it came back from an outage of all its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Return {
    /// The partner, and the endpoint if it is apart.
    pub gate: String,
    /// Whether the endpoints of a partner come back together, as they share its limit.
    pub shared: bool,
    /// What kind of outage it was.
    pub kind: String,
    /// When it came back, microseconds.
    pub at_us: u64,
    /// The largest number of calls within the time after which it falls, over what it could do in that time; of all
    /// senders, whether they knew of the outage or not.
    pub worst_ratio: f64,
    /// That number of calls.
    pub worst_calls: usize,
}

/// What the judge says.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Where the messages went.
    pub accounting: Accounting,
    /// Every rule broken, in the order of the log.
    pub breaches: Vec<Violation>,
    /// How late a stand-in was at the most, microseconds.
    pub late_us: u64,
    /// Every return from an outage, in the order of the log.
    pub returns: Vec<Return>,
}

impl Verdict {
    /// Whether the stand-ins were too late for the verdict to be worth anything: the run is to be played again.
    pub fn in_doubt(&self) -> bool {
        self.late_us > LATE_US
    }

    /// Whether no rule is broken, and nothing lost or doubled.
    pub fn clean(&self) -> bool {
        self.breaches.is_empty() && self.accounting.lost == 0 && self.accounting.doubled == 0
    }

    /// The hardest push on any gate that came back, 0 if none did.
    pub fn return_worst_ratio(&self) -> f64 {
        self.returns.iter().map(|r| r.worst_ratio).fold(0.0, f64::max)
    }

    /// The rules that were broken.
    pub fn broken(&self) -> BTreeSet<Rule> {
        self.breaches.iter().map(|b| b.rule).collect()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let a = &self.accounting;
        writeln!(f, "handed in          {:>7}", a.handed_in)?;
        writeln!(f, "  taken on         {:>7}", a.taken_on)?;
        writeln!(f, "    delivered      {:>7}   in time {}, late {}", a.delivered, a.in_time, a.late)?;
        writeln!(f, "    refused        {:>7}", a.refused)?;
        writeln!(f, "    failed         {:>7}", a.failed)?;
        writeln!(f, "    open           {:>7}", a.open)?;
        writeln!(f, "    lost           {:>7}", a.lost)?;
        writeln!(f, "  refused at door  {:>7}", a.refused_at_the_door)?;
        writeln!(f, "  failed at door   {:>7}", a.failed_at_the_door)?;
        writeln!(f, "  unheard          {:>7}", a.unheard)?;
        writeln!(f, "doubled            {:>7}", a.doubled)?;
        writeln!(f, "calls              {:>7}   refused {}", a.calls, a.calls_refused)?;
        for rule in Rule::ALL {
            let breaches: Vec<&Violation> = self.breaches.iter().filter(|b| b.rule == rule).collect();
            let word = if breaches.is_empty() { "kept" } else { "BROKEN" };
            writeln!(f, "{rule:<36} {word}")?;
            for breach in breaches.iter().take(5) {
                writeln!(f, "    {} (lines {:?})", breach.what, breach.lines)?;
            }
            if breaches.len() > 5 {
                writeln!(f, "    and {} more", breaches.len() - 5)?;
            }
        }
        for r in &self.returns {
            writeln!(
                f,
                "{} back from {:<8} return_worst_ratio {:.2}  ({} calls)",
                r.gate, r.kind, r.worst_ratio, r.worst_calls
            )?;
        }
        if self.in_doubt() {
            writeln!(f, "late: a stand-in was {} ms behind; this run says nothing", self.late_us / 1_000)?;
        }
        Ok(())
    }
}

/// Judges a whole log.
///
/// ```
/// use rudderspindle_testkit::event_log::{Event, Line, Rules, VERSION};
/// use rudderspindle_testkit::checker::checker;
///
/// let world = Event::World { v: VERSION, classes: vec![], endpoints: vec![], rules: Rules::default() };
/// let verdict = check_events(&[Line { t: 0, event: world }]);
/// assert!(verdict.clean());
/// ```
pub fn check_events(lines: &[Line]) -> Verdict {
    let mut check_events = Checker::default();
    for (n, line) in lines.iter().enumerate() {
        check_events.take(n + 1, line);
    }
    check_events.finish(lines.last().map_or(0, |line| line.t))
}

/// What a wait or an outage holds for: an endpoint that is apart, or a partner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Gate {
    Endpoint(String),
    FakeReceiver(u16),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Delivered,
    Refused,
    Failed,
}

#[derive(Debug)]
struct Message {
    class: usize,
    sender: String,
    line: usize,
    handed_in: u64,
    due: u64,
    order: Option<String>,
    /// When its client heard that it is taken on.
    taken_on: Option<usize>,
    /// How it ended, when, and the line.
    end: Option<(End, u64, usize)>,
    calls: Vec<u64>,
    effects: u32,
}

#[derive(Debug)]
struct Call {
    txn: String,
    sender: String,
    endpoint: String,
    first: u64,
    line: usize,
    fate: Fate,
    /// It went over a link that loses what comes back: its sender may have given it up, and no end of it is seen.
    hidden: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    /// With this status.
    Answered(u16),
    /// When.
    Cut(u64),
}

impl Fate {
    /// Whether the sender can know that the call never ran.
    fn never_ran(self) -> bool {
        matches!(self, Self::Answered(429 | 503 | 504 | 410))
    }
}

/// A second call that came while the first had not ended: a breach unless that ends at once.
#[derive(Debug)]
struct Overlap {
    at: u64,
    first: u64,
    second: u64,
}

#[derive(Debug, Default)]
struct Outage {
    /// Endpoints of the gate that are in one.
    struck: BTreeSet<String>,
    /// When the last one returned, after all were struck, and where the verdict says how.
    returned: Option<(u64, usize)>,
    all_struck: bool,
    /// Senders that saw it.
    seen_by: BTreeSet<String>,
    /// What came since it returned, with its sender and line.
    came: VecDeque<(u64, String, usize)>,
    fallen: bool,
}

#[derive(Debug, Default)]
struct Process {
    /// Since when it has been stopping or down.
    down: Option<u64>,
    /// When it was last ready, after having been down since then.
    back: Vec<(u64, u64)>,
    starts: u64,
    /// Since when its agent has not taken notices.
    unheard: Option<u64>,
    /// From when to when it had not.
    unheard_until: Vec<(u64, u64)>,
}

/// When a wait was told, until when it lasts, and the line.
type ToldWait = (u64, u64, usize);

/// Reads a log line by line.
#[derive(Debug, Default)]
pub struct Checker {
    rules: Rules,
    classes: Vec<Class>,
    endpoints: HashMap<String, Endpoint>,
    gates: BTreeMap<Gate, BTreeSet<String>>,
    messages: BTreeMap<String, Message>,
    /// Messages of an ordering key at one start of a sender, in the order in which they were handed in.
    queues: HashMap<(String, u64, String), Vec<String>>,
    calls: HashMap<u64, Call>,
    overlaps: Vec<Overlap>,
    drained: HashMap<(String, String), (u64, usize)>,
    waits: HashMap<(String, Gate), Vec<ToldWait>>,
    outages: HashMap<Gate, Outage>,
    processes: HashMap<String, Process>,
    /// Senders and endpoints with a link between them that loses what comes back.
    hidden: BTreeSet<(String, String)>,
    verdict: Verdict,
}

fn us(ms: u64) -> u64 {
    ms * 1_000
}

impl Checker {
    /// Takes in one line; `n` is its number, from 1. Lines come in the order of their times.
    pub fn take(&mut self, n: usize, line: &Line) {
        let t = line.t;
        self.settle_overlaps(t);
        match &line.event {
            Event::World { classes, endpoints, rules, .. } => {
                self.classes = classes.clone();
                self.rules = rules.clone();
                for endpoint in endpoints {
                    let gate = gate_of(endpoint);
                    self.gates.entry(gate).or_default().insert(endpoint.id.clone());
                    self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
                }
            }
            Event::HandedIn { txn, sender, class, left_ms, order, .. } => {
                self.handed_in(n, t, txn, sender, class, *left_ms, order.as_ref());
            }
            Event::Heard { txn, status } => self.heard(n, t, txn, *status),
            Event::Unheard { .. } => self.verdict.accounting.unheard += 1,
            Event::Called { call, sender, endpoint, txn, first_us } => {
                self.called(n, t, *call, sender, endpoint, txn, *first_us);
            }
            Event::Effect { call, repeat } => self.effect(*call, *repeat),
            Event::Answered { call, status, wait_ms } => self.answered(n, t, *call, *status, *wait_ms),
            Event::Cut { call } => {
                if let Some(call) = self.calls.get_mut(call)
                    && call.fate == Fate::Out
                {
                    call.fate = Fate::Cut(t);
                    let (sender, endpoint) = (call.sender.clone(), call.endpoint.clone());
                    self.saw_failure(&sender, &endpoint);
                }
            }
            Event::Probed { sender, endpoint, ok } => {
                self.pushes(n, t, sender, endpoint);
                if !ok {
                    self.saw_failure(sender, endpoint);
                }
            }
            Event::Turned { sender, endpoint } => self.saw_failure(sender, endpoint),
            Event::Told { sender, endpoint, phase } => {
                let key = (sender.clone(), endpoint.clone());
                if phase == "SERVING" {
                    self.drained.remove(&key);
                } else {
                    self.drained.entry(key).or_insert((t, n));
                }
            }
            Event::Noticed { txn, status, taken: true, .. } => self.noticed(n, t, txn, status),
            Event::Noticed { .. } => {}
            Event::Outage { endpoint, kind, on } => self.outage(t, endpoint, kind, *on),
            Event::Sender { sender, life } => self.life(t, sender, *life),
            Event::Agent { sender, kind, on } if kind != "silent" => {
                let process = self.processes.entry(sender.clone()).or_default();
                if *on {
                    process.unheard = process.unheard.or(Some(t));
                } else if let Some(since) = process.unheard.take() {
                    process.unheard_until.push((since, t));
                }
            }
            // What is not told on a silent agent's watch has no line.
            Event::Agent { .. } => {}
            Event::Link { sender, endpoint, hides, on, .. } => self.link(sender, endpoint, *hides && *on),
            Event::Late { by_us, .. } => self.verdict.late_us = self.verdict.late_us.max(*by_us),
        }
    }

    /// Messages that were taken on and have no end so far.
    pub fn open(&self) -> usize {
        self.messages.values().filter(|m| m.taken_on.is_some() && m.end.is_none()).count()
    }

    /// The log ends at `t`.
    pub fn finish(mut self, t: u64) -> Verdict {
        self.settle_overlaps(u64::MAX);
        let mut breaches = Vec::new();
        for (txn, message) in &self.messages {
            let Some(heard) = message.taken_on else { continue };
            let due = self.due(message);
            let account = &mut self.verdict.accounting;
            match message.end {
                Some((_, at, end)) if due.is_some_and(|due| at > due) => {
                    let by = (at - due.unwrap_or(at)) / 1_000;
                    breaches.push(Violation {
                        rule: Rule::Lost,
                        what: format!("{txn} has its end {by} ms too late"),
                        lines: vec![message.line, heard, end],
                    });
                }
                None if due.is_some_and(|due| t > due) => {
                    account.lost += 1;
                    breaches.push(Violation {
                        rule: Rule::Lost,
                        what: format!("{txn} was taken on and has no end"),
                        lines: vec![message.line, heard],
                    });
                    continue;
                }
                _ => {}
            }
            match message.end {
                Some((End::Delivered, at, _)) => {
                    account.delivered += 1;
                    let wanted = message.handed_in + us(self.classes[message.class].aim_ms);
                    if at <= wanted {
                        account.in_time += 1;
                    } else {
                        account.late += 1;
                    }
                }
                Some((End::Refused, ..)) => account.refused += 1,
                Some((End::Failed, ..)) => account.failed += 1,
                None => account.open += 1,
            }
        }
        for message in self.messages.values() {
            if message.effects > 1 && self.classes[message.class].effect != Effect::Safe {
                self.verdict.accounting.doubled += 1;
            }
        }
        self.verdict.breaches.extend(breaches);
        self.verdict.breaches.sort_by_key(|b| b.lines.last().copied());
        self.verdict
    }

    fn breach(&mut self, rule: Rule, what: String, lines: Vec<usize>) {
        self.verdict.breaches.push(Violation { rule, what, lines });
    }

    // ---- Messages ----------------------------------------------------------------------------------------

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn handed_in(
        &mut self,
        n: usize,
        t: u64,
        txn: &str,
        sender: &str,
        class: &str,
        left_ms: u64,
        order: Option<&String>,
    ) {
        self.verdict.accounting.handed_in += 1;
        let Some(class) = self.classes.iter().position(|c| c.name == class) else { return };
        if let Some(key) = order.filter(|_| self.classes[class].ordered) {
            let starts = self.processes.get(sender).map_or(0, |p| p.starts);
            let queue = self.queues.entry((sender.to_owned(), starts, key.clone())).or_default();
            queue.push(txn.to_owned());
        }
        // An id that comes again, to whomever, is the same message.
        self.messages.entry(txn.to_owned()).or_insert_with(|| Message {
            class,
            sender: sender.to_owned(),
            line: n,
            handed_in: t,
            due: t + us(left_ms),
            order: order.cloned(),
            taken_on: None,
            end: None,
            calls: Vec::new(),
            effects: 0,
        });
    }

    fn heard(&mut self, n: usize, t: u64, txn: &str, status: u16) {
        let account = &mut self.verdict.accounting;
        match status {
            200 | 202 => account.taken_on += 1,
            429 | 503 => account.refused_at_the_door += 1,
            _ => account.failed_at_the_door += 1,
        }
        let Some(message) = self.messages.get_mut(txn) else { return };
        match status {
            200 | 202 => message.taken_on = message.taken_on.or(Some(n)),
            429 | 503 => {
                self.refused(n, txn);
                self.end(n, t, txn, End::Refused);
            }
            _ => self.end(n, t, txn, End::Failed),
        }
    }

    fn noticed(&mut self, n: usize, t: u64, txn: &str, status: &str) {
        let end = if status == "deferred" { End::Refused } else { End::Failed };
        if end == End::Refused {
            self.refused(n, txn);
        }
        self.end(n, t, txn, end);
    }

    /// A refusal tells the client that trying again is harmless.
    fn refused(&mut self, n: usize, txn: &str) {
        let Some(message) = self.messages.get(txn) else { return };
        let class = &self.classes[message.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => class.group == Group::All,
            Effect::Unsafe => false,
        };
        let ran = message.calls.iter().map(|call| &self.calls[call]).find(|c| !c.fate.never_ran());
        if let (false, Some(ran)) = (harmless, ran) {
            let (what, lines) = (format!("{txn} is refused and may have run"), vec![ran.line, n]);
            self.breach(Rule::Doubled, what, lines);
        }
    }

    fn end(&mut self, n: usize, t: u64, txn: &str, end: End) {
        let Some(message) = self.messages.get_mut(txn) else { return };
        match message.end {
            None => message.end = Some((end, t, n)),
            // A notice for a message that is over does no harm; two that differ leave the client with both.
            Some((before, _, line)) if before != end && before != End::Delivered && end != End::Delivered => {
                self.breach(Rule::Lost, format!("{txn} has two ends, {before:?} and {end:?}"), vec![line, n]);
            }
            Some(_) => {}
        }
    }

    /// When a message must have had its end; `None` while its sender is down.
    fn due(&self, message: &Message) -> Option<u64> {
        let due = message.due + us(self.rules.end_ms + self.rules.slack_ms);
        let Some(process) = self.processes.get(&message.sender) else { return Some(due) };
        if process.down.is_some_and(|since| since <= due) || process.unheard.is_some_and(|since| since <= due)
        {
            return None;
        }
        // So is what an agent did not take; only at its end can a sender bring it again.
        let again = us(self.rules.notice_ms + self.rules.slack_ms);
        let untaken =
            process.unheard_until.iter().filter(|(since, until)| *since <= due && due < until + again);
        let due = untaken.map(|(_, until)| until + again).fold(due, u64::max);
        // Whatever falls into a restart is due so long after it.
        let restart = us(self.rules.restart_ms + self.rules.slack_ms);
        let over = process.back.iter().filter(|(down, ready)| *down <= due && due < ready + restart);
        Some(over.map(|(_, ready)| ready + restart).fold(due, u64::max))
    }

    // ---- Calls -------------------------------------------------------------------------------------------

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn called(&mut self, n: usize, t: u64, call: u64, sender: &str, endpoint: &str, txn: &str, first: u64) {
        self.verdict.accounting.calls += 1;
        self.pushes(n, t, sender, endpoint);
        self.check_drain(n, sender, endpoint, txn, first);
        self.check_wait(n, sender, endpoint, txn, first);
        let record = Call {
            txn: txn.to_owned(),
            sender: sender.to_owned(),
            endpoint: endpoint.to_owned(),
            first,
            line: n,
            fate: Fate::Out,
            hidden: self.hidden.contains(&(sender.to_owned(), endpoint.to_owned())),
        };
        if self.messages.contains_key(txn) {
            self.check_over(n, txn, first);
            self.check_order(n, txn, first);
            self.check_repeat(n, t, txn, endpoint, first, call);
        } else {
            self.breach(Rule::Lost, format!("{txn} was never handed in"), vec![n]);
        }
        self.calls.insert(call, record);
        if let Some(message) = self.messages.get_mut(txn) {
            message.calls.push(call);
        }
    }

    fn check_over(&mut self, n: usize, txn: &str, first: u64) {
        let slack = us(self.rules.slack_ms);
        let Some((end, at, line)) = self.messages[txn].end else { return };
        if end != End::Delivered && first > at + slack {
            self.breach(Rule::Lost, format!("{txn} is sent after it ended as {end:?}"), vec![line, n]);
        }
    }

    fn check_repeat(&mut self, n: usize, t: u64, txn: &str, endpoint: &str, first: u64, call: u64) {
        let message = &self.messages[txn];
        let class = &self.classes[message.class];
        let earlier: Vec<(u64, &Call)> = message.calls.iter().map(|id| (*id, &self.calls[id])).collect();
        let out = earlier.iter().filter(|(_, c)| c.fate == Fate::Out && !c.hidden);
        let overlaps: Vec<Overlap> = out.map(|(id, _)| Overlap { at: t, first: *id, second: call }).collect();
        let ran = earlier.iter().map(|(_, c)| *c).find(|c| !c.fate.never_ran());
        let breach = ran.and_then(|ran| {
            let window = ran.first + us(class.window_ms + self.rules.slack_ms);
            let what = match class.effect {
                Effect::Safe => return None,
                Effect::Unsafe => format!("{txn} is sent again and may have run"),
                Effect::Keyed if !self.same_group(class.group, &ran.endpoint, endpoint) => {
                    format!("{txn} may have run at {} and goes to {endpoint}", ran.endpoint)
                }
                Effect::Keyed if first > window => {
                    format!("{txn} is sent again {} ms after its key is forgotten", (first - window) / 1_000)
                }
                Effect::Keyed => return None,
            };
            Some((what, vec![ran.line, n]))
        });
        self.overlaps.extend(overlaps);
        if let Some((what, lines)) = breach {
            self.breach(Rule::Doubled, what, lines);
        }
    }

    fn same_group(&self, group: Group, one: &str, other: &str) -> bool {
        let hall = |id: &str| self.endpoints.get(id).map(|e| &e.hall);
        match group {
            Group::All => true,
            Group::Hall => hall(one) == hall(other),
            Group::Endpoint => one == other,
        }
    }

    /// An ended connection may be noticed a little after the next one's first byte; an answer is noted before
    /// it is written, so one that comes later came later.
    fn settle_overlaps(&mut self, t: u64) {
        if self.overlaps.is_empty() {
            return;
        }
        let slack = us(self.rules.slack_ms);
        let mut breaches = Vec::new();
        let calls = &self.calls;
        self.overlaps.retain(|o| {
            let (Some(first), Some(second)) = (calls.get(&o.first), calls.get(&o.second)) else {
                return true;
            };
            let proven = match first.fate {
                Fate::Out if t <= o.at.saturating_add(slack) => return true,
                Fate::Cut(at) => at > o.at + slack,
                Fate::Out | Fate::Answered(_) => true,
            };
            if proven {
                let what = format!("{} has two attempts out", first.txn);
                breaches.push(Violation { rule: Rule::Doubled, what, lines: vec![first.line, second.line] });
            }
            false
        });
        self.verdict.breaches.extend(breaches);
    }

    fn effect(&mut self, call: u64, repeat: bool) {
        let txn = self.calls.get(&call).map(|c| c.txn.clone());
        if let Some(message) = txn.and_then(|txn| self.messages.get_mut(&txn)) {
            message.effects += u32::from(!repeat);
        }
    }

    fn answered(&mut self, n: usize, t: u64, id: u64, status: u16, wait_ms: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.fate != Fate::Out {
            return;
        }
        call.fate = Fate::Answered(status);
        let hidden = call.hidden;
        let (sender, endpoint, txn) = (call.sender.clone(), call.endpoint.clone(), call.txn.clone());
        if matches!(status, 429 | 503) {
            self.verdict.accounting.calls_refused += 1;
        }
        if status != 200 {
            self.saw_failure(&sender, &endpoint);
        } else {
            self.end(n, t, &txn, End::Delivered);
        }
        // What was told on a link that loses it was not heard.
        if let Some(gate) = self.gate(&endpoint).filter(|_| wait_ms > 0 && !hidden) {
            self.waits.entry((sender, gate)).or_default().push((t, t + us(wait_ms), n));
        }
    }

    /// A link begins to lose what comes back, or no longer does.
    fn link(&mut self, sender: &str, endpoint: &str, hides: bool) {
        let between = (sender.to_owned(), endpoint.to_owned());
        if !hides {
            self.hidden.remove(&between);
            return;
        }
        let open = self.calls.values_mut().filter(|c| c.fate == Fate::Out);
        open.filter(|c| c.sender == sender && c.endpoint == endpoint).for_each(|c| c.hidden = true);
        self.hidden.insert(between);
    }

    // ---- Drains, waits, order ----------------------------------------------------------------------------

    fn check_drain(&mut self, n: usize, sender: &str, endpoint: &str, txn: &str, first: u64) {
        let grace = us(self.rules.drain_grace_ms + self.rules.slack_ms);
        let told = self.drained.get(&(sender.to_owned(), endpoint.to_owned())).copied();
        if let Some((at, line)) = told.filter(|(at, _)| first > at + grace) {
            let after = (first - at) / 1_000;
            let what = format!("{txn} goes to {endpoint} {after} ms after {sender} was told that it drains");
            self.breach(Rule::Drains, what, vec![line, n]);
        }
    }

    fn check_wait(&mut self, n: usize, sender: &str, endpoint: &str, txn: &str, first: u64) {
        let Some(gate) = self.gate(endpoint) else { return };
        let grace = us(self.rules.wait_grace_ms);
        let Some(waits) = self.waits.get_mut(&(sender.to_owned(), gate)) else { return };
        waits.retain(|(_, until, _)| *until > first);
        let told = waits.iter().find(|(at, ..)| first > at + grace).copied();
        if let Some((_, until, line)) = told {
            let early = (until - first) / 1_000;
            let what = format!("{txn} goes to {endpoint} {early} ms before {sender}'s wait is over");
            self.breach(Rule::Waits, what, vec![line, n]);
        }
    }

    fn check_order(&mut self, n: usize, txn: &str, first: u64) {
        let message = &self.messages[txn];
        let Some(key) = message.order.as_ref().filter(|_| self.classes[message.class].ordered) else {
            return;
        };
        let starts = self.processes.get(&message.sender).map_or(0, |p| p.starts);
        let Some(queue) = self.queues.get(&(message.sender.clone(), starts, key.clone())) else { return };
        let rest = us(self.rules.order_rest_ms);
        let breach = queue.iter().take_while(|other| *other != txn).find_map(|other| {
            let earlier = &self.messages[other];
            let calls = || earlier.calls.iter().map(|id| &self.calls[id]);
            if let Some(out) = calls().find(|c| c.fate == Fate::Out && !c.hidden) {
                return Some((format!("{txn} is sent while {other} is out"), vec![out.line, n]));
            }
            // What nobody was told of as taken on may have been refused.
            if earlier.end.is_none() && earlier.taken_on.is_some() {
                return Some((format!("{txn} is sent before {other} is over"), vec![earlier.line, n]));
            }
            let resting = calls().find(|c| matches!(c.fate, Fate::Cut(at) if first < at + rest));
            resting.map(|c| (format!("{txn} is sent while {other} may still run"), vec![c.line, n]))
        });
        if let Some((what, lines)) = breach {
            self.breach(Rule::Order, what, lines);
        }
    }

    // ---- Outages and returns -----------------------------------------------------------------------------

    fn gate(&self, endpoint: &str) -> Option<Gate> {
        self.endpoints.get(endpoint).map(gate_of)
    }

    fn outage(&mut self, t: u64, endpoint: &str, kind: &str, on: bool) {
        let Some(gate) = self.gate(endpoint) else { return };
        let members = self.gates.get(&gate).map_or(0, BTreeSet::len);
        let (name, shared) = match &gate {
            Gate::Endpoint(id) => (id.clone(), false),
            Gate::FakeReceiver(number) => (format!("partner {number}"), true),
        };
        let outage = self.outages.entry(gate).or_default();
        if on {
            if outage.struck.is_empty() {
                *outage = Outage::default();
            }
            outage.struck.insert(endpoint.to_owned());
            outage.all_struck |= outage.struck.len() == members;
        } else {
            outage.struck.remove(endpoint);
            if outage.struck.is_empty() && outage.all_struck {
                outage.returned = Some((t, self.verdict.returns.len()));
                let (kind, at_us, worst_ratio, worst_calls) = (kind.to_owned(), t, 0.0, 0);
                let r = Return { gate: name, shared, kind, at_us, worst_ratio, worst_calls };
                self.verdict.returns.push(r);
            }
        }
    }

    fn saw_failure(&mut self, sender: &str, endpoint: &str) {
        let outage = self.gate(endpoint).and_then(|gate| self.outages.get_mut(&gate));
        if let Some(outage) = outage.filter(|o| !o.struck.is_empty()) {
            outage.seen_by.insert(sender.to_owned());
        }
    }

    /// A call or probe that has come to an endpoint which may be cold.
    fn pushes(&mut self, n: usize, t: u64, sender: &str, endpoint: &str) {
        let Some(gate) = self.gate(endpoint) else { return };
        let per_s = self.endpoints[endpoint].per_s;
        let Rules { fall_multiple, fall_ms, cold_from, warm_ms, .. } = self.rules;
        let Some(outage) = self.outages.get_mut(&gate) else { return };
        let Some((returned, index)) = outage.returned else { return };
        if t > returned + us(warm_ms) {
            return;
        }
        outage.came.push_back((t, sender.to_owned(), n));
        let span = us(fall_ms);
        while outage.came.front().is_some_and(|(at, ..)| at + span < t) {
            outage.came.pop_front();
        }
        // What it can do over the span that ends now, from when it came back.
        let share = |at: u64| {
            let warm = (at - returned) as f64 / us(warm_ms).max(1) as f64;
            (cold_from + (1.0 - cold_from) * warm).min(1.0)
        };
        let from = returned.max(t.saturating_sub(span));
        // A span that began before it came back is filled up at the share that it had then.
        let seconds = span as f64 / 1e6;
        let can = per_s * seconds * (share(from) + share(t)) / 2.0;
        let ratio = outage.came.len() as f64 / can;
        if let Some(r) = self.verdict.returns.get_mut(index).filter(|r| ratio > r.worst_ratio) {
            (r.worst_ratio, r.worst_calls) = (ratio, outage.came.len());
        }
        if outage.fallen || outage.came.len() as f64 <= fall_multiple * can + FALL_SLACK {
            return;
        }
        outage.fallen = true;
        let knew = outage.came.iter().filter(|(_, sender, _)| outage.seen_by.contains(sender)).count();
        if knew as f64 >= FALL_SHARE * outage.came.len() as f64 {
            let what = format!(
                "{endpoint} is pushed over: {} calls in {fall_ms} ms, {can:.1} at its pace",
                outage.came.len()
            );
            let lines = outage.came.iter().map(|c| c.2).collect();
            self.breach(Rule::Return, what, lines);
        }
    }

    fn life(&mut self, t: u64, sender: &str, life: Life) {
        let process = self.processes.entry(sender.to_owned()).or_default();
        match life {
            Life::Ready => {
                process.starts += 1;
                if let Some(down) = process.down.take() {
                    process.back.push((down, t));
                }
            }
            Life::Term => process.down = process.down.or(Some(t)),
            Life::Ended => {
                process.down = process.down.or(Some(t));
                // A restart ends a wait, and who begins anew has not been told of an outage.
                self.waits.retain(|(name, _), _| name != sender);
                for outage in self.outages.values_mut() {
                    outage.seen_by.remove(sender);
                }
            }
        }
    }
}

fn gate_of(endpoint: &Endpoint) -> Gate {
    if endpoint.apart { Gate::Endpoint(endpoint.id.clone()) } else { Gate::FakeReceiver(endpoint.partner) }
}
