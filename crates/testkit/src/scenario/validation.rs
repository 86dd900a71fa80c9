//! Checks that the fields of a scenario are consistent with each other.

use std::collections::BTreeSet;

use super::{ReceiverPlan, Scenario, ScheduledEvent};

/// Maximum number of senders.
const MAX_SENDERS: usize = 16;

/// A field that is outside its range or contradicts another field. The text begins with its key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Inconsistency {
    /// The number of senders is out of range.
    #[error("senders is {0}: must be from 1 to 16")]
    Senders(usize),
    /// The scenario has no receiver.
    #[error("receivers is empty: must contain at least one receiver")]
    NoReceivers,
    /// A receiver has no endpoint.
    #[error("receivers[{receiver}].endpoints is empty: must contain at least one endpoint")]
    NoEndpoints {
        /// Index of the receiver.
        receiver: usize,
    },
    /// A receiver's weight is not a positive number.
    #[error("receivers[{receiver}].weight is {weight}: must be a finite number above 0")]
    Weight {
        /// Index of the receiver.
        receiver: usize,
        /// The invalid weight.
        weight: f64,
    },
    /// Two endpoints have the same id.
    #[error("receivers[{receiver}].endpoints has the id {id} a second time: must be unique in the scenario")]
    DuplicateEndpoint {
        /// Index of the receiver that has the second endpoint.
        receiver: usize,
        /// Id of both endpoints.
        id: String,
    },
    /// An event names a sender, receiver or endpoint that does not exist.
    #[error("events[{event}] names {missing}, which is not in the scenario")]
    UnknownTarget {
        /// Index of the event.
        event: usize,
        /// What the event names.
        missing: Target,
    },
}

/// The sender, receiver or endpoint that an event affects.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Target {
    /// A receiver, by its number.
    #[error("receiver {0}")]
    Receiver(u16),
    /// An endpoint, by its id.
    #[error("endpoint {0}")]
    Endpoint(String),
    /// A sender, by its index.
    #[error("sender {0}")]
    Sender(usize),
}

impl Scenario {
    /// Checks the constraints that the types of the fields do not express.
    ///
    /// # Errors
    ///
    /// The first [`Inconsistency`] found.
    pub(super) fn validate(&self) -> Result<(), Inconsistency> {
        if self.senders == 0 || self.senders > MAX_SENDERS {
            return Err(Inconsistency::Senders(self.senders));
        }
        if self.receivers.is_empty() {
            return Err(Inconsistency::NoReceivers);
        }
        let mut endpoint_ids = BTreeSet::new();
        for (index, receiver) in self.receivers.iter().enumerate() {
            validate_receiver(index, receiver, &mut endpoint_ids)?;
        }
        for (index, event) in self.events.iter().enumerate() {
            if let Some(missing) = self.missing_target(event, &endpoint_ids) {
                return Err(Inconsistency::UnknownTarget { event: index, missing });
            }
        }
        Ok(())
    }

    /// The first target of an event that does not exist in the scenario; `None` if all of them exist.
    fn missing_target(&self, event: &ScheduledEvent, endpoint_ids: &BTreeSet<&str>) -> Option<Target> {
        let receiver_target = |number: u16| {
            let exists = self.receivers.iter().any(|receiver| receiver.number == number);
            (!exists).then_some(Target::Receiver(number))
        };
        let endpoint_target = |id: &String| {
            let exists = endpoint_ids.contains(id.as_str());
            (!exists).then(|| Target::Endpoint(id.clone()))
        };
        let sender_target = |index: usize| (index >= self.senders).then_some(Target::Sender(index));
        match event {
            ScheduledEvent::Outage { receiver, endpoints, .. } => {
                receiver_target(*receiver).or_else(|| endpoints.iter().find_map(endpoint_target))
            }
            ScheduledEvent::List { endpoint, .. } => endpoint_target(endpoint),
            ScheduledEvent::Stale { .. } => None,
            ScheduledEvent::Kill { sender, .. }
            | ScheduledEvent::Restart { sender, .. }
            | ScheduledEvent::Upgrade { sender, .. }
            | ScheduledEvent::Discovery { sender, .. }
            | ScheduledEvent::MoveDiscovery { sender, .. } => sender_target(*sender),
            ScheduledEvent::Link { sender, receiver, .. } => {
                sender_target(*sender).or_else(|| receiver_target(*receiver))
            }
        }
    }
}

/// Checks the receiver with this index in the scenario, and adds its endpoints to `endpoint_ids`.
fn validate_receiver<'a>(
    index: usize,
    receiver: &'a ReceiverPlan,
    endpoint_ids: &mut BTreeSet<&'a str>,
) -> Result<(), Inconsistency> {
    if receiver.endpoints.is_empty() {
        return Err(Inconsistency::NoEndpoints { receiver: index });
    }
    let weight = receiver.weight;
    if !weight.is_finite() || weight <= 0.0 {
        return Err(Inconsistency::Weight { receiver: index, weight });
    }
    for endpoint in &receiver.endpoints {
        if !endpoint_ids.insert(&endpoint.id) {
            return Err(Inconsistency::DuplicateEndpoint { receiver: index, id: endpoint.id.clone() });
        }
    }
    Ok(())
}
