//! The endpoint list of a sender, its changes, and the watches to which the changes are sent.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::NotificationMode;
use super::entry::Entry;
use crate::scenario::Phase;

/// Maximum number of changes that wait to be written to a watch; a watch with more is closed.
const MAX_WAITING_LINES: usize = 1_024;

/// A change of an endpoint's phase, and the line with which watches announce it.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) line: String,
    pub(super) endpoint: String,
    pub(super) phase: Phase,
}

/// The phase of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EndpointPhase {
    pub(super) endpoint: String,
    pub(super) phase: Phase,
}

/// A change with its revision and entry, for watches that begin later.
#[derive(Debug)]
struct RecordedChange {
    revision: u64,
    entry: Value,
    change: Change,
}

/// First line and later changes of a watch that has just begun.
#[derive(Debug)]
pub(super) struct NewWatch {
    /// The complete list, or the changes after the requested revision.
    pub(super) first_line: String,
    /// Changes made after the watch began.
    pub(super) changes: mpsc::Receiver<Change>,
}

/// Endpoint list, its changes and the open watches of a discovery service.
#[derive(Debug)]
pub(super) struct ListState {
    revision: u64,
    changes: Vec<RecordedChange>,
    entries: Vec<Entry>,
    watches: Vec<mpsc::Sender<Change>>,
    /// How the service responds to notifications.
    pub(super) notification_mode: NotificationMode,
    /// The phase last announced to the sender, for each endpoint that has changed.
    announced: BTreeMap<String, Phase>,
}

impl ListState {
    pub(super) fn new(entries: Vec<Entry>) -> Self {
        Self {
            revision: 1,
            changes: Vec::new(),
            entries,
            watches: Vec::new(),
            notification_mode: NotificationMode::Acknowledge,
            announced: BTreeMap::new(),
        }
    }

    /// The complete list in its wire format.
    pub(super) fn complete_list(&self) -> Value {
        let members: Vec<Value> = self.entries.iter().map(Entry::json).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// The changes after a revision in their wire format.
    fn changes_after(&self, revision: u64) -> Value {
        let later = self.changes.iter().filter(|recorded| recorded.revision > revision);
        let members: Vec<Value> = later.map(|recorded| recorded.entry.clone()).collect();
        json!({"revision": self.revision, "complete": false, "members": members})
    }

    /// Changes an endpoint's phase and sends the change to the watches. An unknown endpoint is ignored.
    pub(super) fn change(&mut self, endpoint: &str, phase: Phase) {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == endpoint) else { return };
        entry.phase = phase;
        let entry = entry.json();
        if phase == Phase::Deleted {
            self.entries.retain(|entry| entry.id != endpoint);
        }
        self.revision += 1;
        let revision = self.revision;
        let line = json!({"revision": revision, "complete": false, "members": [&entry]}).to_string();
        let change = Change { line, endpoint: endpoint.to_owned(), phase };
        self.watches.retain(|watch| watch.try_send(change.clone()).is_ok());
        self.changes.push(RecordedChange { revision, entry, change });
    }

    /// The phases that the response to a request announces: those of the changes after `revision`, or of all changes if it
    /// is `None` or unknown.
    pub(super) fn changes_since(&self, revision: Option<u64>) -> Vec<EndpointPhase> {
        let since = revision.filter(|revision| *revision <= self.revision).unwrap_or(0);
        let later = self.changes.iter().filter(|recorded| recorded.revision > since);
        let phase = |Change { endpoint, phase, .. }: &Change| EndpointPhase {
            endpoint: endpoint.clone(),
            phase: *phase,
        };
        later.map(|recorded| phase(&recorded.change)).collect()
    }

    /// Records that a phase is announced to the sender. Returns whether it differs from the last announced one.
    pub(super) fn announce(&mut self, endpoint: &str, phase: Phase) -> bool {
        self.announced.insert(endpoint.to_owned(), phase) != Some(phase)
    }

    /// Begins a watch of the changes after a revision.
    pub(super) fn watch(&mut self, from: Option<u64>) -> NewWatch {
        let (lines, changes) = mpsc::channel(MAX_WAITING_LINES);
        let first = match from {
            Some(revision) if revision <= self.revision => self.changes_after(revision),
            _ => self.complete_list(),
        };
        self.watches.push(lines);
        NewWatch { first_line: first.to_string(), changes }
    }
}
