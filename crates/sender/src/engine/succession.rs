//! Two processes of one sender for a while.

use super::*;
use crate::outbound::MAX_BACKOFF_MS;

impl Engine {
    /// A successor gets half of the disk, and hears what is known of outages and waits.
    pub(super) fn successor(&mut self, came: bool) {
        if !came {
            self.sender.share_slots(0);
        }
        if !self.store.is_owner() {
            // It is the owner that is gone; its journal's lock says when it has ended.
            return;
        }
        if let Err(error) = self.store.share_disk(came) {
            tracing::warn!("journal: no room could be made for a successor: {error}");
        }
        if !came {
            return;
        }
        tracing::info!("handover: a successor has come");
        for (endpoint, outage) in self.store.outage_records() {
            let outage = handover::OutageState::from(outage);
            let (destination, receiver) = (endpoint.destination, endpoint.receiver.to_string());
            self.peer_process.send(HandoverMessage::OutageState { destination, receiver, outage });
        }
        self.outbound.active_backoffs().into_iter().for_each(|word| self.peer_process.send(word));
        self.told_out = self.calls.len();
        self.peer_process.send(HandoverMessage::CallsInFlight(self.told_out));
        self.peer_process.send(HandoverMessage::FreeSpace);
    }

    /// What a predecessor tells a process that begins: as if its own journal had said so, as far as it can be.
    pub fn hear(store: &mut Store, told: &[HandoverMessage]) {
        for word in told {
            if let HandoverMessage::OutageState { destination, receiver, outage } = word {
                let outage = outage.clamped().into();
                let endpoint = journal::EndpointKey::new(*destination, receiver.as_str());
                store.record_outage(endpoint, Some(outage));
            }
        }
    }

    /// The other process of this sender was told to wait.
    pub(super) fn heed(&mut self, destination: u16, receiver: Option<&str>, wait: Millis) -> Option<Event> {
        let route = match receiver {
            None => None,
            // One that is on no list here gets nothing anyway.
            Some(receiver) => Some(self.routes.get(receiver)?.route),
        };
        let (destination, wait) = (DestinationId(destination), wait.clamp(0.0, MAX_BACKOFF_MS));
        self.outbound.apply_backoff(destination, route, wait);
        Some(Event::RetryAfter { destination, route, wait })
    }

    /// If the process that owned the journal has ended, what it owed is ours.
    pub(super) fn succeed(&mut self, now: Instant) {
        match self.store.take_over() {
            Ok(None) => {}
            Ok(Some(over)) => {
                tracing::info!(
                    "handover: taken over: {} messages, {} notices",
                    over.pending_messages.len(),
                    over.pending_notifications.len()
                );
                self.recover(now, over.pending_messages, over.pending_notifications);
            }
            Err(error) => tracing::warn!("handover: the older journal cannot be read yet: {error}"),
        }
    }
}

#[cfg(test)]
mod tests;
