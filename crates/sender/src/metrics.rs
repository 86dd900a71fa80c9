//! Counters of this process and the status of its engine, reported to operators as one JSON line.
//!
//! Events are counted where they occur; reading the counters does not wait for the engine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use rudderspindle_journal::Status;
use serde::Serialize;

/// The final outcome of a message, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Delivered to a receiver, whose response was a success.
    Delivered,
    /// Shed: refused when it was submitted, or reported as deferred in a notification.
    Rejected,
    /// Reported as undeliverable: no further attempt is made.
    Failed,
}

impl From<Status> for FinalOutcome {
    fn from(status: Status) -> Self {
        match status {
            Status::Undeliverable => Self::Failed,
            Status::Deferred(_) => Self::Rejected,
        }
    }
}

/// The engine's status at the time of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineStatus {
    /// Number of messages that are accepted and not complete.
    pub open_requests: usize,
    /// Number of receivers in the endpoint list.
    pub registry_entries: usize,
    /// Number of receivers in the endpoint list that this sender does not call at present.
    pub out_of_rotation: usize,
}

/// The counters since this process started, and the engine's status.
#[derive(Debug)]
pub struct Metrics {
    /// Names of the classes, by index.
    classes: Vec<String>,
    /// Final outcomes by class.
    outcomes: RefCell<Vec<OutcomeCounts>>,
    /// Number of calls whose request was written completely.
    calls_written: Cell<u64>,
    /// Number of open connections of clients.
    client_connections: Cell<usize>,
    /// The engine's status as last set.
    engine_status: Cell<EngineStatus>,
}

/// Number of messages by final outcome.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    delivered: u64,
    rejected: u64,
    failed: u64,
}

/// The report as serialized to JSON; the keys are part of the control protocol.
#[derive(Serialize)]
struct Report<'a> {
    #[serde(rename = "fulfilled")]
    delivered: BTreeMap<&'a str, u64>,
    #[serde(rename = "throttled")]
    rejected: BTreeMap<&'a str, u64>,
    #[serde(rename = "faulted")]
    failed: BTreeMap<&'a str, u64>,
    #[serde(rename = "relayed")]
    calls_written: u64,
    #[serde(flatten)]
    engine_status: EngineStatus,
}

impl Metrics {
    /// Creates counters at zero; `classes` are the names of the classes, by index.
    pub fn new(classes: &[String]) -> Self {
        Self {
            classes: classes.to_vec(),
            outcomes: RefCell::new(vec![OutcomeCounts::default(); classes.len()]),
            calls_written: Cell::new(0),
            client_connections: Cell::new(0),
            engine_status: Cell::default(),
        }
    }

    /// Counts the final outcome of a message; the outcome of a `class` that does not exist is ignored.
    pub fn count_outcome(&self, class: usize, outcome: FinalOutcome) {
        if let Some(counts) = self.outcomes.borrow_mut().get_mut(class) {
            match outcome {
                FinalOutcome::Delivered => counts.delivered += 1,
                FinalOutcome::Rejected => counts.rejected += 1,
                FinalOutcome::Failed => counts.failed += 1,
            }
        }
    }

    /// Counts a call whose request was written completely.
    pub fn call_written(&self) {
        self.calls_written.set(self.calls_written.get() + 1);
    }

    /// Counts a new connection of a client.
    pub fn client_connected(&self) {
        self.client_connections.set(self.client_connections.get() + 1);
    }

    /// Counts a closed connection of a client.
    pub fn client_disconnected(&self) {
        self.client_connections.set(self.client_connections.get().saturating_sub(1));
    }

    /// Number of open connections of clients.
    pub fn client_connections(&self) -> usize {
        self.client_connections.get()
    }

    /// Stores the engine's status for the next report.
    pub fn set_engine_status(&self, status: EngineStatus) {
        self.engine_status.set(status);
    }

    /// Formats all counters and the engine's status as one line of JSON, without a line break.
    pub fn to_json(&self) -> String {
        let outcomes = self.outcomes.borrow();
        let counts_by_class = |count: fn(&OutcomeCounts) -> u64| -> BTreeMap<&str, u64> {
            self.classes.iter().map(String::as_str).zip(outcomes.iter().map(count)).collect()
        };
        let report = Report {
            delivered: counts_by_class(|counts| counts.delivered),
            rejected: counts_by_class(|counts| counts.rejected),
            failed: counts_by_class(|counts| counts.failed),
            calls_written: self.calls_written.get(),
            engine_status: self.engine_status.get(),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
