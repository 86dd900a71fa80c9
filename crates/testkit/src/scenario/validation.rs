//! Checks the ranges of a scenario's fields, and that its events name senders, receivers and endpoints that exist.

use std::collections::BTreeSet;

use super::{ReceiverPlan, Scenario, ScheduledEvent};

/// Maximum number of senders.
const MAX_SENDERS: usize = 16;

/// A field of a scenario that is outside its range or contradicts another field. The error text begins with the field's
/// key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
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
    #[error(
        "receivers[{receiver}].endpoints has the id {id}, which another endpoint has: ids must be unique in the scenario"
    )]
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
        /// The target that the event names and the scenario lacks.
        missing: Target,
    },
}

/// The sender, receiver or endpoint that an event affects.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Target {
    /// The number of a receiver, as in [`ReceiverPlan::number`]; not its index.
    #[error("receiver {0}")]
    Receiver(u16),
    /// The id of an endpoint.
    #[error("endpoint {0}")]
    Endpoint(String),
    /// The index of a sender, from 0.
    #[error("sender {0}")]
    Sender(usize),
}

impl Scenario {
    /// Checks the constraints that the types of the fields do not express.
    ///
    /// # Errors
    ///
    /// The first [`ValidationError`] found.
    pub(super) fn validate(&self) -> Result<(), ValidationError> {
        if self.senders == 0 || self.senders > MAX_SENDERS {
            return Err(ValidationError::Senders(self.senders));
        }
        if self.receivers.is_empty() {
            return Err(ValidationError::NoReceivers);
        }
        let mut endpoint_ids = BTreeSet::new();
        for (index, receiver) in self.receivers.iter().enumerate() {
            validate_receiver(index, receiver, &mut endpoint_ids)?;
        }
        for (index, event) in self.events.iter().enumerate() {
            if let Some(missing) = self.missing_target(event, &endpoint_ids) {
                return Err(ValidationError::UnknownTarget { event: index, missing });
            }
        }
        Ok(())
    }

    /// The first target of an event that does not exist in the scenario; `None` if all of them exist.
    fn missing_target(&self, event: &ScheduledEvent, endpoint_ids: &BTreeSet<&str>) -> Option<Target> {
        let missing_receiver = |number: u16| {
            let exists = self.receivers.iter().any(|receiver| receiver.number == number);
            (!exists).then_some(Target::Receiver(number))
        };
        let missing_endpoint = |id: &String| {
            let exists = endpoint_ids.contains(id.as_str());
            (!exists).then(|| Target::Endpoint(id.clone()))
        };
        let missing_sender = |index: usize| (index >= self.senders).then_some(Target::Sender(index));
        match event {
            ScheduledEvent::Outage { receiver, endpoints, .. } => {
                missing_receiver(*receiver).or_else(|| endpoints.iter().find_map(missing_endpoint))
            }
            ScheduledEvent::PhaseChange { endpoint, .. } => missing_endpoint(endpoint),
            ScheduledEvent::ListDelay { .. } => None,
            ScheduledEvent::Kill { sender, .. }
            | ScheduledEvent::Restart { sender, .. }
            | ScheduledEvent::Upgrade { sender, .. }
            | ScheduledEvent::DiscoveryFault { sender, .. }
            | ScheduledEvent::MoveDiscovery { sender, .. } => missing_sender(*sender),
            ScheduledEvent::LinkFault { sender, receiver, .. } => {
                missing_sender(*sender).or_else(|| missing_receiver(*receiver))
            }
        }
    }
}

/// Checks the receiver with this index in the scenario, and adds its endpoints to `endpoint_ids`.
fn validate_receiver<'a>(
    index: usize,
    receiver: &'a ReceiverPlan,
    endpoint_ids: &mut BTreeSet<&'a str>,
) -> Result<(), ValidationError> {
    if receiver.endpoints.is_empty() {
        return Err(ValidationError::NoEndpoints { receiver: index });
    }
    let weight = receiver.weight;
    if !weight.is_finite() || weight <= 0.0 {
        return Err(ValidationError::Weight { receiver: index, weight });
    }
    for endpoint in &receiver.endpoints {
        if !endpoint_ids.insert(&endpoint.id) {
            return Err(ValidationError::DuplicateEndpoint { receiver: index, id: endpoint.id.clone() });
        }
    }
    Ok(())
}
