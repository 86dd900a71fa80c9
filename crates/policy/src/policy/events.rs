//! Dispatches each event to the type that owns the affected state.

use super::Policy;
use crate::interface::{
    Action, AttemptHistory, AttemptResult, Event, ListChange, Message, MessageHandle, Outcome,
};
use crate::messages::PendingMessage;

impl Policy {
    /// Applies one event.
    pub(super) fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let now = self.context.now;
        match event {
            Event::List(change) => self.apply_list_change(change),
            Event::Message(message) => self.admit(message, &AttemptHistory::default()),
            Event::Recovered(message, history) => self.admit(message, history),
            Event::PersistedOutage(persisted) => {
                if let Some(destination) = self.destinations.get_mut(persisted.scope.destination) {
                    destination.restore_outage(&mut self.context, persisted);
                }
            }
            Event::RetryAfter(update) => {
                if let Some(destination) = self.destinations.get_mut(update.scope.destination) {
                    destination.apply_retry_after(now, update);
                }
            }
            Event::Capacity(update) => {
                if let Some(destination) = self.destinations.get_mut(update.scope.destination) {
                    destination.apply_capacity(now, update);
                }
            }
            Event::Permits(update) => {
                if let Some(destination) = self.destinations.get_mut(update.scope.destination) {
                    destination.apply_permits(now, update);
                }
            }
            Event::EjectedRoutes(ejected) => self.destinations.apply_ejections(ejected),
            Event::Quota { tenant, messages_per_s } => self.quotas.set_share(*tenant, *messages_per_s),
            Event::ResponseStarted { id, attempt } => self.messages.record_start_of_response(*id, *attempt),
            Event::Outcome(result) => self.record_result(result, actions),
            Event::ClientDisconnected(id) => self.complete(*id),
            Event::Wake(token) => self.wake_timer.fired(*token),
            Event::HealthChecked { .. } => {}
        }
    }

    /// Sets how many slots another process of this sender uses.
    pub fn set_slots_used_by_peer(&mut self, used: usize) {
        self.slots.set_used_by_peer(used);
    }

    /// Declares that the host will report the demand of other senders, as [`Event::Capacity`].
    pub fn expect_capacity_reports(&mut self) {
        self.capacity_source.reports_capacity = true;
    }

    /// Declares that the host will report permits, as [`Event::Permits`]. From then on no call starts without
    /// a permit.
    pub fn require_permits(&mut self) {
        self.capacity_source.requires_permits = true;
    }

    /// Sets whether attempts may start, which is so at first. While they may not, for example during the host's
    /// shutdown, messages wait and still get their final outcome in time.
    pub fn set_may_send(&mut self, may_send: bool) {
        self.may_send = may_send;
    }

    fn apply_list_change(&mut self, change: &ListChange) {
        let entries = match change {
            ListChange::Full(entries) | ListChange::Cached(entries) => {
                self.destinations.mark_all_routes_removed();
                entries
            }
            ListChange::Delta(entries) => entries,
            ListChange::Failed => {
                self.subscription.back_off(&mut self.context);
                return;
            }
        };
        self.destinations.apply_entries(&self.context, entries, self.capacity_source);
    }

    /// Accepts a message; `history` holds its attempts before a restart. A message that is already pending is
    /// ignored.
    fn admit(&mut self, message: &Message, history: &AttemptHistory) {
        if self.messages.contains(message.id) {
            return;
        }
        let within_quota = self.quotas.admits(self.context.now, &self.context.settings, message.tenant);
        let pending = PendingMessage::new(&self.context, message, history, within_quota);
        self.messages.insert(message.id, pending);
        self.enqueue(message.id);
        if let Some(destination) = self.destinations.get_mut(message.destination) {
            destination.record_arrival(&mut self.context);
        }
    }

    /// Adds a message to its destination's waiting messages, until it is sent or its final outcome is due.
    fn enqueue(&mut self, id: MessageHandle) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.schedule_outcome(&self.context);
        self.destinations.enqueue(message.destination, id);
    }

    /// Records the result of an attempt; the message is then completed, or waits for a retry.
    fn record_result(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(in_flight) = self.messages.take_in_flight(result.id, result.attempt) else { return };
        let Some(destination) = self.messages.get(result.id).map(|message| message.destination) else {
            return;
        };
        let mut execution = None;
        if let Some(destination) = self.destinations.get_mut(destination) {
            execution = destination.record_result(&mut self.context, &mut self.slots, in_flight.call, result);
            destination.report_outages(self.context.now, actions);
        }
        self.messages.record_result(&self.context, result, execution);
        self.retry_or_complete(result, actions);
    }

    fn retry_or_complete(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(result.id) else { return };
        if result.completed || message.completed || result.outcome == Outcome::Ok {
            self.complete(result.id);
        } else if message.may_be_retried(&self.context) {
            self.enqueue(result.id);
        } else {
            self.refuse_or_fail(result.id, 0.0, actions);
        }
    }
}
