//! One sender of the simulation: its process and its stored record.
use std::collections::BTreeSet;
use std::sync::Arc;

use rudderspindle_clock::UnixMillis;
use rudderspindle_placement::{Incarnation, Placement, RuleSet, Settings, StateRecord};

use super::{START_MS, at, key, settings};

/// One sender: its process, if it runs, and its stored record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// `None` while the sender is killed.
    pub process: Option<Arc<Placement>>,
    /// Whether the process neither sends nor receives.
    pub paused: bool,
    /// The encoded record in the state folder; `None` if it is lost.
    pub stored_record: Option<Vec<u8>>,
    pub incarnation: u64,
    /// The revisions that `stored_record` acknowledges.
    pub acknowledged: BTreeSet<u64>,
}

impl Node {
    /// A sender that is started with the record of a voting sender that holds `first`.
    pub fn started_from_record(own_id: u16, sender_count: u16, first: &RuleSet) -> Node {
        let mut node = Node {
            process: None,
            paused: false,
            stored_record: Some(voting_record(first)),
            incarnation: 0,
            acknowledged: BTreeSet::from([1]),
        };
        node.start(settings(own_id, sender_count), None, at(START_MS - 500));
        node
    }

    /// Starts a process of the next incarnation with the stored record.
    pub fn start(&mut self, settings: Settings, file: Option<RuleSet>, now: UnixMillis) {
        let record = self.stored_record.as_ref().map(|bytes| StateRecord::decode(bytes, &key()).unwrap());
        self.incarnation += 1;
        let incarnation = Incarnation(self.incarnation);
        let process = Placement::new(settings, file, record, incarnation, now).unwrap();
        self.process = Some(Arc::new(process));
    }
}

/// The record of a voting sender that holds these rules, created by a fleet of one sender that recovers by its own summary.
fn voting_record(rules: &RuleSet) -> Vec<u8> {
    let started_at = at(START_MS - 3_000);
    let mut only_sender =
        Placement::new(settings(0, 1), Some(rules.clone()), None, Incarnation(1), started_at).unwrap();
    for now in [at(START_MS - 2_000), at(START_MS - 1_600)] {
        let generation = only_sender.poll_snapshot(now).map_or(0, |snapshot| snapshot.generation);
        only_sender.mark_persisted(generation);
        only_sender.poll_datagrams(now);
    }
    only_sender.snapshot().bytes
}
