//! What a sender reports of itself: counts since its process began, and how it stands now.
//!
//! Counted where the thing happens, read by whoever asks: to read them never waits for the engine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use rudderspindle_journal::Status;
use serde::Serialize;

/// How a message ended, as its client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Delivered,
    /// Refused at the door, or handed back by a notice.
    Refused,
    Failed,
}

impl From<Status> for End {
    fn from(status: Status) -> Self {
        match status {
            Status::Undeliverable => Self::Failed,
            Status::Deferred(_) => Self::Refused,
        }
    }
}

/// How the engine stands at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineStatus {
    /// Messages taken on that have not ended.
    pub open_requests: usize,
    /// Receivers in the list.
    pub registry_entries: usize,
    /// Receivers in the list that take no calls of this sender now.
    pub out_of_rotation: usize,
}

/// The counts of one process.
#[derive(Debug)]
pub struct Metrics {
    classes: Vec<String>,
    /// Delivered, refused, failed; for each class.
    ends: RefCell<Vec<[u64; 3]>>,
    /// Calls with a message whose last byte was written.
    relayed: Cell<u64>,
    /// Clients' connections that are open.
    clients: Cell<usize>,
    /// What the engine said last.
    standing: Cell<EngineStatus>,
}

/// One line for each reader, in its order.
#[derive(Serialize)]
struct Report<'a> {
    fulfilled: BTreeMap<&'a str, u64>,
    throttled: BTreeMap<&'a str, u64>,
    faulted: BTreeMap<&'a str, u64>,
    relayed: u64,
    #[serde(flatten)]
    standing: EngineStatus,
}

impl Metrics {
    /// Nothing has happened yet; `classes` by index.
    pub fn new(classes: &[String]) -> Self {
        Self {
            classes: classes.to_vec(),
            ends: RefCell::new(vec![[0; 3]; classes.len()]),
            relayed: Cell::new(0),
            clients: Cell::new(0),
            standing: Cell::default(),
        }
    }

    /// A message of this class has ended.
    pub fn ended(&self, class: usize, end: End) {
        if let Some(ends) = self.ends.borrow_mut().get_mut(class) {
            ends[end as usize] += 1;
        }
    }

    /// A call with a message has been written whole.
    pub fn relayed(&self) {
        self.relayed.set(self.relayed.get() + 1);
    }

    /// A client has connected, or gone.
    pub fn client(&self, came: bool) {
        let clients = self.clients.get();
        self.clients.set(if came { clients + 1 } else { clients.saturating_sub(1) });
    }

    /// Clients' connections that are open.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// The engine says how it stands.
    pub fn stand(&self, standing: EngineStatus) {
        self.standing.set(standing);
    }

    /// All figures as one line of JSON, without its end.
    pub fn to_json(&self) -> String {
        let ends = self.ends.borrow();
        let of = |end: End| -> BTreeMap<&str, u64> {
            let counts = ends.iter().map(|ends| ends[end as usize]);
            self.classes.iter().map(String::as_str).zip(counts).collect()
        };
        let report = Report {
            fulfilled: of(End::Delivered),
            throttled: of(End::Refused),
            faulted: of(End::Failed),
            relayed: self.relayed.get(),
            standing: self.standing.get(),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_counts_once_for_its_class_and_none_for_a_class_that_is_no_more() {
        let metrics = Metrics::new(&["drop".to_owned(), "status".to_owned()]);
        metrics.ended(0, End::Delivered);
        metrics.ended(1, Status::Deferred(Some(5)).into());
        metrics.ended(1, Status::Undeliverable.into());
        metrics.ended(2, End::Delivered);
        metrics.relayed();
        metrics.stand(EngineStatus { open_requests: 3, registry_entries: 2, out_of_rotation: 1 });
        assert_eq!(
            metrics.to_json(),
            r#"{"fulfilled":{"drop":1,"status":0},"throttled":{"drop":0,"status":1},"faulted":{"drop":0,"status":1},"relayed":1,"open_requests":3,"registry_entries":2,"out_of_rotation":1}"#
        );
    }
}
