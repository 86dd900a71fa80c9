//! Takeover of a sender by a successor process: shares the disk budget and the connection slots, exchanges state with
//! the peer process, and changes the journal's owner.
//!
//! The peer process is the other process of this sender: its successor or its predecessor.

use rudderspindle_policy::interface::{DestinationId, Event, LimitScope, Millis, RetryAfterUpdate};
use tokio::time::Instant;

use super::Engine;
use super::outage_records::outage_messages;
use crate::handover::HandoverMessage;
use crate::outbound::MAX_BACKOFF_MS;

impl Engine {
    /// Shares the disk budget with the successor, and sends it the state of outages and backoffs and the number of
    /// calls in flight. Does nothing if this process does not own the journal.
    pub(super) fn successor_connected(&mut self) {
        if !self.store.is_owner() {
            return;
        }
        self.share_disk(true);
        tracing::info!("successor connected");
        for message in outage_messages(&self.store) {
            self.io.peer_process.send(message);
        }
        for message in self.io.outbound.active_backoffs() {
            self.io.peer_process.send(message);
        }
        self.announce_calls();
        self.send_endpoint_list();
        if !self.store.leaves_half_to_successor() {
            self.announce_disk_space();
        }
        self.io.peer_process.send(HandoverMessage::FreeSpace);
    }

    /// Sends the endpoint list to a successor, because discovery may not respond to it.
    fn send_endpoint_list(&self) {
        if !self.io.peer_process.reads_endpoint_list() {
            return;
        }
        let list = self.listed_endpoints.received_list();
        for message in list.iter().flat_map(HandoverMessage::endpoint_list) {
            self.io.peer_process.send(message);
        }
    }

    /// Leaves more of the disk budget to the successor once fewer messages are pending here.
    pub(super) fn release_disk_space(&mut self) {
        if self.store.can_leave_more_to_successor() {
            self.share_disk(true);
            self.announce_disk_space();
        }
    }

    /// Announces the successor's part of the disk budget.
    fn announce_disk_space(&self) {
        let bytes = self.store.successor_part();
        tracing::info!(bytes, "part of the disk budget left to the successor");
        self.io.peer_process.send(HandoverMessage::DiskSpace(bytes));
    }

    /// Reclaims the connection slots and the disk budget that were shared with the peer process.
    pub(super) fn peer_process_disconnected(&mut self) {
        self.policy.set_slots_used_by_peer(0);
        // If the peer process owns the journal, it may still run after the connection has closed. Only the journal's
        // lock shows that the process has ended.
        if self.store.is_owner() {
            self.share_disk(false);
            self.end_claims();
        } else {
            self.id_claims.owner_disconnected();
        }
    }

    /// Limits the journal to its part of the disk budget, or restores the whole budget.
    fn share_disk(&mut self, with_successor: bool) {
        if let Err(error) = self.store.share_disk(with_successor) {
            tracing::warn!(%error, with_successor, "disk budget could not be changed");
        }
    }

    /// Announces the number of calls in flight to a connected peer process if the number has changed.
    pub(super) fn announce_changed_calls(&mut self) {
        if self.io.peer_process.is_connected() && self.calls.is_announcement_due() {
            self.announce_calls();
        }
    }

    /// Announces the number of calls in flight to the peer process.
    fn announce_calls(&mut self) {
        self.io.peer_process.send(self.calls.announce());
    }

    /// Applies a backoff that a receiver has requested from the peer process; `receiver` is `None` for the whole
    /// destination. `wait`, in milliseconds, is clamped to the range from 0 to [`MAX_BACKOFF_MS`].
    pub(super) fn apply_peer_process_backoff(
        &mut self,
        destination: u16,
        receiver: Option<&str>,
        wait: Millis,
    ) -> Option<Event> {
        let route = match receiver {
            None => None,
            // A backoff of an unknown receiver is ignored, because this process does not call that receiver.
            Some(receiver) => Some(self.endpoints.find_route(receiver)?),
        };
        let destination = DestinationId(destination);
        let wait = wait.clamp(0.0, MAX_BACKOFF_MS);
        self.io.outbound.apply_backoff(destination, route, wait);
        let scope = LimitScope { destination, route };
        Some(Event::RetryAfter(RetryAfterUpdate { scope, remaining: wait }))
    }

    /// Takes over the journal with its messages and notifications if its owner has ended; otherwise does nothing.
    pub(super) fn take_over_journal(&mut self, now: Instant) {
        match self.store.take_over() {
            Ok(None) => {}
            Ok(Some(journal)) => {
                tracing::info!(
                    messages = journal.pending_messages.len(),
                    notifications = journal.pending_notifications.len(),
                    "journal taken over"
                );
                self.recover(now, journal.pending_messages, journal.pending_notifications);
                self.end_claims();
            }
            Err(error) => tracing::warn!(%error, "journal of the previous owner cannot be read yet"),
        }
    }
}

#[cfg(test)]
mod tests;
