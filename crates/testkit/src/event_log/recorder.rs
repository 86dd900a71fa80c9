//! The event log during a test: fakes and clients append to it from several tasks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{Class, Endpoint, Event, Line, Rules, VERSION};

/// An event log that is being written. Clones append to the same log.
#[derive(Clone, Debug)]
pub struct EventLog(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Time 0 of the log's clock.
    started_at: Instant,
    content: Mutex<Content>,
}

#[derive(Debug)]
struct Content {
    lines: Vec<Line>,
    /// The last id that [`EventLog::next_call_id`] returned; 0 before the first.
    last_call_id: u64,
}

impl EventLog {
    /// Starts a log, whose first line is its header. The clock of the log starts at 0 with this call.
    pub fn start(classes: Vec<Class>, endpoints: Vec<Endpoint>, rules: Rules) -> Self {
        let header = Event::Header { v: VERSION, classes, endpoints, rules };
        let content = Content { lines: vec![Line { t: 0, event: header }], last_call_id: 0 };
        Self(Arc::new(Inner { started_at: Instant::now(), content: Mutex::new(content) }))
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time in microseconds since the log began.
    pub fn now(&self) -> u64 {
        self.time_of(Instant::now())
    }

    /// Converts an instant to microseconds on the log's clock; 0 for instants before the log began.
    pub fn time_of(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.0.started_at).as_micros() as u64
    }

    /// Converts a time on the log's clock, in microseconds, to an instant.
    pub fn instant(&self, time_us: u64) -> Instant {
        self.0.started_at + Duration::from_micros(time_us)
    }

    /// Appends a line with an event and the current time.
    pub fn record(&self, event: Event) {
        let mut content = self.content();
        // The clock is read under the lock, so that lines are in the order of their times.
        let t = self.now();
        content.lines.push(Line { t, event });
    }

    /// Returns a new call id, unique in the log.
    pub fn next_call_id(&self) -> u64 {
        let mut content = self.content();
        content.last_call_id += 1;
        content.last_call_id
    }

    /// The lines recorded so far, except the first `skipped_count`.
    pub fn lines_from(&self, skipped_count: usize) -> Vec<Line> {
        self.content().lines.get(skipped_count..).unwrap_or_default().to_vec()
    }

    /// All lines recorded so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines_from(0)
    }
}
