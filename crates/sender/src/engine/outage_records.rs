//! The journal's records of outages, converted to and from the types of the policy and of the handover.

use rudderspindle_journal::{self as journal, Store};
use rudderspindle_policy::interface::{
    DestinationId, Event, LimitScope, Millis, OutageState, PersistedOutage,
};

use super::endpoint_table::EndpointTable;
use crate::handover::{self, HandoverMessage};
use crate::outbound::Outbound;

/// Adds the state of an outage to the journal's buffer, so that a later process can restore it. The outage of a
/// receiver that is no longer listed is ignored.
pub(super) fn record_outage(store: &mut Store, outbound: &Outbound, scope: LimitScope, outage: OutageState) {
    let LimitScope { destination, route } = scope;
    let receiver = match route {
        None => "".into(),
        Some(route) => match outbound.receiver_location(route) {
            Some(location) => location.receiver,
            None => return,
        },
    };
    let endpoint = journal::EndpointKey::new(destination.0, receiver);
    store.record_outage(endpoint, to_journal(outage));
}

/// The outages in the journal, as events for the policy. Outages of unknown receivers are omitted.
pub(super) fn recorded_outages(store: &Store, endpoints: &EndpointTable) -> Vec<Event> {
    let event = |(endpoint, outage): (&journal::EndpointKey, journal::OutageState)| {
        let receiver = &endpoint.receiver;
        let route = if receiver.is_empty() { None } else { Some(endpoints.find_route(receiver)?) };
        let scope = LimitScope { destination: DestinationId(endpoint.destination), route };
        Some(Event::PersistedOutage(PersistedOutage { scope, outage: from_journal(outage) }))
    };
    store.outage_records().filter_map(event).collect()
}

/// The outages in the journal, as messages for a successor process.
pub(super) fn outage_messages(store: &Store) -> Vec<HandoverMessage> {
    let message =
        |(endpoint, outage): (&journal::EndpointKey, journal::OutageState)| HandoverMessage::OutageState {
            destination: endpoint.destination,
            receiver: endpoint.receiver.to_string(),
            outage: handover::OutageState::from(outage),
        };
    store.outage_records().map(message).collect()
}

/// Adds the outages among the messages of the journal's owner to the journal's buffer. Clamps values that are out of
/// range, because the owner is another process and may send any number.
pub fn restore_outages(store: &mut Store, messages: &[HandoverMessage]) {
    for message in messages {
        if let HandoverMessage::OutageState { destination, receiver, outage } = message {
            let endpoint = journal::EndpointKey::new(*destination, receiver.as_str());
            store.record_outage(endpoint, Some(outage.clamped().into()));
        }
    }
}

/// Converts an outage from the policy's type to the journal's; `None` for a healthy destination or receiver.
fn to_journal(outage: OutageState) -> Option<journal::OutageState> {
    match outage {
        OutageState::Healthy => None,
        OutageState::Down { retry_after_remaining } => {
            Some(journal::OutageState::Down { retry_after_remaining: retry_after_remaining as u64 })
        }
        OutageState::WarmingUp { since_recovery, ramp_share } => {
            Some(journal::OutageState::WarmingUp { since_recovery: since_recovery as i64, ramp_share })
        }
    }
}

/// Converts an outage from the journal's type to the policy's.
fn from_journal(outage: journal::OutageState) -> OutageState {
    match outage {
        journal::OutageState::Down { retry_after_remaining } => {
            OutageState::Down { retry_after_remaining: retry_after_remaining as Millis }
        }
        journal::OutageState::WarmingUp { since_recovery, ramp_share } => {
            OutageState::WarmingUp { since_recovery: since_recovery as Millis, ramp_share }
        }
    }
}

#[cfg(test)]
mod tests;
