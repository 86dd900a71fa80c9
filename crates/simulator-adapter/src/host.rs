//! Hosts many simulated senders: hands each its events and collects its actions.

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Event, ListChange, Millis, RouteEntry, SettingsError};
use rudderspindle_policy::settings;
use thiserror::Error;

use crate::frame::{Batch, InstanceId, ListId, MalformedFrame, Record, Reply};

const LIST_FULL: u8 = 0;
const LIST_FAILED: u8 = 1;
const LIST_DELTA: u8 = 2;
const LIST_CACHED: u8 = 4;

/// Events of one batch, by sender; a sender without any is still handled at the batch's time.
type PendingEvents = BTreeMap<InstanceId, Vec<Event>>;

/// Why a batch could not be answered.
#[derive(Debug, Error)]
pub enum HostError {
    /// A sender's settings cannot be parsed.
    #[error(transparent)]
    UnreadableSettings(#[from] settings::ReadError),
    /// A sender's settings are out of range.
    #[error("unreadable settings: {0}")]
    InvalidSettings(#[from] SettingsError),
    /// A list update is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedFrame),
}

/// The simulated senders, and the endpoint lists that records have defined.
#[derive(Default)]
pub struct Host {
    senders: BTreeMap<InstanceId, Policy>,
    lists: BTreeMap<ListId, Vec<RouteEntry>>,
}

impl Host {
    /// Applies the records of a batch in order, then calls each sender that they concern once.
    ///
    /// # Errors
    ///
    /// [`HostError`] if a sender's settings do not work or a list update is malformed.
    pub fn answer(&mut self, batch: Batch) -> Result<Reply, HostError> {
        let mut pending = PendingEvents::new();
        for record in batch.records {
            self.apply(record, &mut pending)?;
        }
        Ok(self.decide(batch.now, pending))
    }

    fn apply(&mut self, record: Record, pending: &mut PendingEvents) -> Result<(), HostError> {
        match record {
            Record::Start { instance, seed, settings } => {
                self.senders.insert(instance, Policy::new(settings::parse(&settings)?, seed)?);
                pending.insert(instance, Vec::new());
            }
            Record::PowerOff { instance } => {
                self.senders.remove(&instance);
                pending.remove(&instance);
            }
            Record::List { list, entries } => {
                self.lists.insert(list, entries);
            }
            Record::ListUpdate { instance, kind, list } => {
                let change = self.list_change(kind, list)?;
                pending.entry(instance).or_default().push(Event::List(change));
            }
            Record::Event { instance, event } => pending.entry(instance).or_default().push(event),
            Record::Peer { instance } => {
                pending.entry(instance).or_default();
            }
        }
        Ok(())
    }

    fn list_change(&self, kind: u8, list: ListId) -> Result<ListChange, MalformedFrame> {
        match kind {
            LIST_FULL => Ok(ListChange::Full(self.entries(list)?)),
            LIST_FAILED => Ok(ListChange::Failed),
            LIST_DELTA => Ok(ListChange::Delta(self.entries(list)?)),
            LIST_CACHED => Ok(ListChange::Cached(self.entries(list)?)),
            unknown => Err(MalformedFrame::UnknownListUpdate(unknown)),
        }
    }

    fn entries(&self, list: ListId) -> Result<Vec<RouteEntry>, MalformedFrame> {
        self.lists.get(&list).cloned().ok_or(MalformedFrame::UndefinedList(list.0))
    }

    fn decide(&mut self, now: Millis, pending: PendingEvents) -> Reply {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (instance, events) in pending {
            let Some(sender) = self.senders.get_mut(&instance) else { continue };
            sender.handle(now, &events, &mut actions);
            for action in actions.drain(..) {
                reply.push(instance, &action);
            }
        }
        reply
    }
}
