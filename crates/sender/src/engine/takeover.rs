//! The engine's part in a takeover, while two processes of one sender run.

use rudderspindle_policy::interface::{DestinationId, Event, LimitScope, Millis, RetryAfterUpdate};
use tokio::time::Instant;

use super::Engine;
use crate::handover::HandoverMessage;
use crate::outbound::MAX_BACKOFF_MS;

impl Engine {
    /// Shares the disk with a successor, and sends it what is known of outages and waits.
    pub(super) fn successor_connected(&mut self) {
        if !self.store.is_owner() {
            return;
        }
        self.share_disk(true);
        tracing::info!("handover: a successor has come");
        for message in self.outage_messages() {
            self.peer_process.send(message);
        }
        for message in self.outbound.active_backoffs() {
            self.peer_process.send(message);
        }
        self.announce_calls();
        self.peer_process.send(HandoverMessage::FreeSpace);
    }

    /// Claims what was shared with the peer process.
    pub(super) fn peer_disconnected(&mut self) {
        self.policy.set_slots_used_by_peer(0);
        // If it was the owner of the journal, the journal's lock tells when it has ended.
        if self.store.is_owner() {
            self.share_disk(false);
        }
    }

    fn share_disk(&mut self, with_successor: bool) {
        if let Err(error) = self.store.share_disk(with_successor) {
            tracing::warn!(%error, with_successor, "disk budget could not be changed");
        }
    }

    /// Tells the peer process how many calls are in flight here, if that has changed.
    pub(super) fn announce_changed_calls(&mut self) {
        if self.peer_process.is_connected() && self.announced_calls != self.calls.len() {
            self.announce_calls();
        }
    }

    fn announce_calls(&mut self) {
        self.announced_calls = self.calls.len();
        self.peer_process.send(HandoverMessage::CallsInFlight(self.announced_calls));
    }

    /// Applies a wait that a receiver has asked the peer process for.
    pub(super) fn apply_peer_backoff(
        &mut self,
        destination: u16,
        receiver: Option<&str>,
        wait: Millis,
    ) -> Option<Event> {
        let route = match receiver {
            None => None,
            // A receiver that is not known here gets no calls anyway.
            Some(receiver) => Some(self.endpoints.find(receiver)?),
        };
        let destination = DestinationId(destination);
        let wait = wait.clamp(0.0, MAX_BACKOFF_MS);
        self.outbound.apply_backoff(destination, route, wait);
        let scope = LimitScope { destination, route };
        Some(Event::RetryAfter(RetryAfterUpdate { scope, remaining: wait }))
    }

    /// Takes the journal over if its owner has ended, with all messages and notifications that are in it.
    pub(super) fn take_over_journal(&mut self, now: Instant) {
        match self.store.take_over() {
            Ok(None) => {}
            Ok(Some(journal)) => {
                tracing::info!(
                    "handover: taken over: {} messages, {} notices",
                    journal.pending_messages.len(),
                    journal.pending_notifications.len()
                );
                self.recover(now, journal.pending_messages, journal.pending_notifications);
            }
            Err(error) => tracing::warn!(%error, "journal of the previous owner cannot be read yet"),
        }
    }
}

#[cfg(test)]
mod tests;
