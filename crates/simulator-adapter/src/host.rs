//! Runs the policies of many simulated senders: passes each policy its events and collects its actions.

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Event, ListChange, Millis, RouteEntry, SettingsError};
use rudderspindle_policy::settings;
use thiserror::Error;

use crate::frame::{Batch, InstanceId, ListId, MalformedFrame, Record, Reply};

// Codes for how a list update is applied. Other codes, 3 included, are rejected.
const LIST_UPDATE_FULL: u8 = 0;
const LIST_UPDATE_FAILED: u8 = 1;
const LIST_UPDATE_DELTA: u8 = 2;
const LIST_UPDATE_CACHED: u8 = 4;

/// The events of one batch, by instance. The policy of each instance in the map is called, even if the instance has no
/// events.
type PendingEvents = BTreeMap<InstanceId, Vec<Event>>;

/// Why a batch could not be answered.
#[derive(Debug, Error)]
pub enum HostError {
    /// The settings of an instance cannot be parsed.
    #[error(transparent)]
    UnreadableSettings(#[from] settings::ReadError),
    /// The settings of an instance are out of range.
    #[error("invalid settings: {0}")]
    InvalidSettings(#[from] SettingsError),
    /// A list update has an unknown kind or refers to an undefined list.
    #[error(transparent)]
    Malformed(#[from] MalformedFrame),
}

/// The policies of the running instances, and the endpoint lists that records have defined.
#[derive(Default)]
pub struct Host {
    policies: BTreeMap<InstanceId, Policy>,
    lists: BTreeMap<ListId, Vec<RouteEntry>>,
}

impl Host {
    /// Applies the records of a batch in order, then calls the policy of each instance in the batch once.
    ///
    /// # Errors
    ///
    /// [`HostError`] if the settings of an instance or a list update are invalid.
    pub fn handle_batch(&mut self, batch: Batch) -> Result<Reply, HostError> {
        let mut pending = PendingEvents::new();
        for record in batch.records {
            self.apply_record(record, &mut pending)?;
        }
        Ok(self.call_policies(batch.now, pending))
    }

    fn apply_record(&mut self, record: Record, pending: &mut PendingEvents) -> Result<(), HostError> {
        match record {
            Record::Start { instance, seed, settings } => {
                self.policies.insert(instance, Policy::new(settings::parse(&settings)?, seed)?);
                pending.insert(instance, Vec::new());
            }
            Record::PowerOff { instance } => {
                self.policies.remove(&instance);
                pending.remove(&instance);
            }
            Record::DefineList { list, entries } => {
                self.lists.insert(list, entries);
            }
            Record::ListUpdate { instance, kind, list } => {
                let change = self.list_change(kind, list)?;
                pending.entry(instance).or_default().push(Event::List(change));
            }
            Record::Event { instance, event } => pending.entry(instance).or_default().push(event),
            Record::Datagram { instance } => {
                pending.entry(instance).or_default();
            }
        }
        Ok(())
    }

    fn list_change(&self, kind: u8, list: ListId) -> Result<ListChange, MalformedFrame> {
        match kind {
            LIST_UPDATE_FULL => Ok(ListChange::Full(self.list_entries(list)?)),
            LIST_UPDATE_FAILED => Ok(ListChange::Failed),
            LIST_UPDATE_DELTA => Ok(ListChange::Delta(self.list_entries(list)?)),
            LIST_UPDATE_CACHED => Ok(ListChange::Cached(self.list_entries(list)?)),
            unknown => Err(MalformedFrame::UnknownListUpdateKind(unknown)),
        }
    }

    fn list_entries(&self, list: ListId) -> Result<Vec<RouteEntry>, MalformedFrame> {
        self.lists.get(&list).cloned().ok_or(MalformedFrame::UndefinedList(list.0))
    }

    fn call_policies(&mut self, now: Millis, pending: PendingEvents) -> Reply {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (instance, events) in pending {
            let Some(policy) = self.policies.get_mut(&instance) else { continue };
            policy.handle(now, &events, &mut actions);
            for action in actions.drain(..) {
                reply.push(instance, &action);
            }
        }
        reply
    }
}
