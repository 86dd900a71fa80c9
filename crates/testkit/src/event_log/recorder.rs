//! The event log while a test runs: fakes and clients append to it from several tasks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{Class, Endpoint, Event, Line, Rules, VERSION};

/// A log that is being written; clones append to the same one.
#[derive(Clone, Debug)]
pub struct EventLog(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    origin: Instant,
    recorded: Mutex<Recorded>,
}

#[derive(Debug)]
struct Recorded {
    lines: Vec<Line>,
    last_call_id: u64,
}

impl EventLog {
    /// Starts a log with its header; the clock starts now.
    pub fn start(classes: Vec<Class>, endpoints: Vec<Endpoint>, rules: Rules) -> Self {
        let header = Event::Header { v: VERSION, classes, endpoints, rules };
        let recorded = Recorded { lines: vec![Line { t: 0, event: header }], last_call_id: 0 };
        Self(Arc::new(Inner { origin: Instant::now(), recorded: Mutex::new(recorded) }))
    }

    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.0.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since the log began.
    pub fn now(&self) -> u64 {
        self.time_of(Instant::now())
    }

    /// An instant as microseconds on the log's clock; 0 for instants before the log began.
    pub fn time_of(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.0.origin).as_micros() as u64
    }

    /// The instant of a time on the log's clock, in microseconds.
    pub fn instant(&self, time_us: u64) -> Instant {
        self.0.origin + Duration::from_micros(time_us)
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let mut recorded = self.recorded();
        // Read under the lock, so that lines are in the order of their times.
        let t = self.now();
        recorded.lines.push(Line { t, event });
    }

    /// A new id of a call, unique within the log.
    pub fn next_call_id(&self) -> u64 {
        let mut recorded = self.recorded();
        recorded.last_call_id += 1;
        recorded.last_call_id
    }

    /// The lines recorded so far, without the first `skipped`.
    pub fn lines_from(&self, skipped: usize) -> Vec<Line> {
        self.recorded().lines.get(skipped..).unwrap_or_default().to_vec()
    }

    /// All lines recorded so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines_from(0)
    }
}
