//! The log that stand-ins and clients write and the judge reads: JSON lines with one monotonic clock.
//!
//! The first line is `world` and carries the version of the format. Every line has `t`, microseconds since the
//! log began. Later work replays such logs: fields may be added, none changes its meaning within a version.
//! `docs/operate/check_events.md` lists the events.

use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The format's version.
pub const VERSION: u32 = 1;

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the log began.
    pub t: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What a class of message may have done to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// May be repeated and refused at will.
    Safe,
    /// Repeats are dropped within a group of endpoints, for a time.
    Keyed,
    /// Never again once it may have run.
    Unsafe,
}

/// Which endpoints of a partner know one another's keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those of one hall.
    Hall,
    /// Each for itself.
    Endpoint,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What may be done with it.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: who drops repeats.
    #[serde(default)]
    pub group: Group,
    /// For [`Effect::Keyed`]: for how long, in milliseconds.
    #[serde(default)]
    pub window_ms: u64,
    /// Wanted within so many milliseconds.
    pub aim_ms: u64,
    /// Given up after so many milliseconds.
    pub deadline_ms: u64,
    /// Whether messages of one ordering key go one at a time, in the order taken.
    #[serde(default)]
    pub ordered: bool,
}

/// An endpoint of a partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id, the same at every sender.
    pub id: String,
    /// Its partner's number.
    pub partner: u16,
    /// The hall that it stands in.
    pub hall: String,
    /// Whether waits and outages are its own, not its partner's.
    #[serde(default)]
    pub apart: bool,
    /// Calls a second that it takes when warm (alone, if apart; else all of its partner's together).
    pub per_s: f64,
}

/// The figures of the rules, in milliseconds where nothing else is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// After word of a drain, calls may begin for so long.
    pub drain_grace_ms: u64,
    /// A cold endpoint falls over when it gets more than this multiple of what it can do at that moment ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_ms: u64,
    /// After an outage it can do this share of its rate ...
    pub cold_from: f64,
    /// ... and all of it after this time, evenly.
    pub warm_ms: u64,
    /// Calls that begin so soon after a wait was told are let through.
    pub wait_grace_ms: u64,
    /// Allowed on every limit for the time things take on sockets.
    pub slack_ms: u64,
    /// A message has its end so long after its time is up at the latest.
    pub end_ms: u64,
    /// From the end of a process until so long after it is ready again nothing is overdue.
    pub restart_ms: u64,
    /// After an attempt that may still run, an ordering key rests so long.
    pub order_rest_ms: u64,
    /// Notices that an agent did not take are brought again so soon after it takes them.
    #[serde(default = "notice_ms")]
    pub notice_ms: u64,
}

fn notice_ms() -> u64 {
    3_000
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 1_000,
            fall_multiple: 2.5,
            fall_ms: 3_000,
            cold_from: 0.17,
            warm_ms: 9_300,
            wait_grace_ms: 100,
            slack_ms: 50,
            end_ms: 300,
            restart_ms: 1_500,
            order_rest_ms: 1_000,
            notice_ms: notice_ms(),
        }
    }
}

/// What became of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// It has answered that it is ready.
    Ready,
    /// It was told to stop.
    Term,
    /// Its process has ended, however.
    Ended,
}

/// What happened. Names of senders, endpoints and messages are as on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Event {
    /// The first line.
    World {
        /// The version of the format.
        v: u32,
        /// The classes of message.
        classes: Vec<Class>,
        /// The partners' endpoints.
        endpoints: Vec<Endpoint>,
        /// The figures of the rules.
        rules: Rules,
    },
    /// The last byte of a hand-in was written to a sender.
    HandedIn {
        /// The message's id, new for each hand-in.
        txn: String,
        /// The id of its first hand-in.
        first: String,
        /// To whom.
        sender: String,
        /// Its class.
        class: String,
        /// Its tenant.
        tenant: String,
        /// Its partner.
        partner: u16,
        /// How long it may still be delivered, in milliseconds.
        left_ms: u64,
        /// Its ordering key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<String>,
    },
    /// Its client has read the answer.
    Heard {
        /// The message.
        txn: String,
        /// 200 or 202: taken on; 429 or 503: refused; else failed.
        status: u16,
    },
    /// Its client has gone without an answer.
    Unheard {
        /// The message.
        txn: String,
    },
    /// A call's last byte has come.
    Called {
        /// The call's number.
        call: u64,
        /// Whose call.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// The message.
        txn: String,
        /// When its first byte came, on the log's clock.
        first_us: u64,
    },
    /// A call has taken effect, or was dropped as a repeat.
    Effect {
        /// The call.
        call: u64,
        /// Whether it was dropped as one.
        repeat: bool,
    },
    /// A call's answer was written.
    Answered {
        /// The call.
        call: u64,
        /// Its status.
        status: u16,
        /// The wait told with it; 0 for none.
        wait_ms: u64,
    },
    /// A call's connection has ended before its answer.
    Cut {
        /// The call.
        call: u64,
    },
    /// A probe was answered, or was not.
    Probed {
        /// Whose probe.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// Whether it was answered well.
        ok: bool,
    },
    /// A connection was reset before a byte was read.
    Turned {
        /// Whose connection.
        sender: String,
        /// The endpoint.
        endpoint: String,
    },
    /// A change of the list was written to a sender.
    Told {
        /// To whom.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// `SERVING`, `DRAINING` or `DELETED`.
        phase: String,
    },
    /// A notice has come.
    Noticed {
        /// Whose.
        sender: String,
        /// The message.
        txn: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Whether it was acknowledged.
        taken: bool,
    },
    /// An endpoint's outage begins or ends. From its end on it is cold.
    Outage {
        /// The endpoint.
        endpoint: String,
        /// What kind.
        kind: String,
        /// Whether it begins.
        on: bool,
    },
    /// The agent beside a sender answers notices otherwise, or as usual again.
    Agent {
        /// Whose agent.
        sender: String,
        /// `silent`, `refuses_notices` or `ignores_notices`.
        kind: String,
        /// Whether it begins.
        on: bool,
    },
    /// A link between a sender and an endpoint fails in some way, or carries as usual again.
    Link {
        /// The sender.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// What kind.
        kind: String,
        /// Whether answers, or the end of connections, may be lost on it without a word, or come late.
        hides: bool,
        /// Whether it begins.
        on: bool,
    },
    /// A sender's process.
    Sender {
        /// Which.
        sender: String,
        /// What became of it.
        life: Life,
    },
    /// A stand-in did something so much later than it was due: not the sender's fault.
    Late {
        /// Who.
        who: String,
        /// By how many microseconds.
        by_us: u64,
    },
}

/// A log that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A line is not of the format.
    #[error("line {line}: {error}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong, and at which column.
        error: serde_json::Error,
    },
    /// The first line is not `world`, or of another version.
    #[error("line 1: not a world of version {VERSION}")]
    Version,
}

/// Reads a log.
///
/// # Errors
///
/// [`ReadError`] names the line.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, ReadError> {
    let mut lines = Vec::new();
    for (n, text) in from.lines().enumerate() {
        let text = text?;
        if !text.trim().is_empty() {
            let line = serde_json::from_str(&text).map_err(|error| ReadError::Line { line: n + 1, error })?;
            lines.push(line);
        }
    }
    match lines.first() {
        Some(Line { event: Event::World { v: VERSION, .. }, .. }) => Ok(lines),
        _ => Err(ReadError::Version),
    }
}

/// Writes a log.
///
/// # Errors
///
/// What the writer says.
pub fn write(lines: &[Line], mut to: impl Write) -> std::io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// The log while it is written. Clones write to the same one.
#[derive(Clone, Debug)]
pub struct EventLog(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    origin: Instant,
    lines: Mutex<(Vec<Line>, u64)>,
}

impl EventLog {
    /// A log that begins now.
    pub fn begin(classes: Vec<Class>, endpoints: Vec<Endpoint>, rules: Rules) -> Self {
        let world = Event::World { v: VERSION, classes, endpoints, rules };
        let lines = vec![Line { t: 0, event: world }];
        Self(Arc::new(Inner { origin: Instant::now(), lines: Mutex::new((lines, 0)) }))
    }

    /// Microseconds since the log began.
    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// A moment on the log's clock.
    pub fn at(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.0.origin).as_micros() as u64
    }

    /// The moment of so many microseconds on the log's clock.
    pub fn instant(&self, us: u64) -> Instant {
        self.0.origin + Duration::from_micros(us)
    }

    /// Notes what happens now.
    pub fn note(&self, event: Event) {
        let mut lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock: the lines stand in the order of their times.
        let t = self.now();
        lines.0.push(Line { t, event });
    }

    /// A number for a call that nobody else has.
    pub fn next_call(&self) -> u64 {
        let mut lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.1 += 1;
        lines.1
    }

    /// The lines so far, without the first `n`.
    pub fn lines_from(&self, n: usize) -> Vec<Line> {
        let lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.0.get(n..).unwrap_or_default().to_vec()
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines_from(0)
    }
}
