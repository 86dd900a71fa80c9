//! Decides which waiting message goes next, and how many calls a destination may hold.

use std::collections::VecDeque;

use super::Policy;
use super::scope::Scope;
use super::state::Destination;
use crate::calls::Call;
use crate::interface::{Action, DestinationId, Effect, MessageHandle};

/// Later calls answered by the same route that show that a call is lost by itself.
const LATER_ANSWERS: u32 = 10;
/// It is lost once it is in flight for this multiple of the time after which it is overdue.
const LOST_STRETCH: f64 = 1.3;
/// A destination may hold this many times the slots that are free.
const SLOTS_PER_FREE_SLOT: usize = 3;

impl Policy {
    /// Serves the destinations in the order of their most urgent call; each sends while its throttles let it.
    pub(super) fn dispatch(&mut self, busy: &[DestinationId], actions: &mut Vec<Action>) {
        for queue in self.queues_by_urgency(busy) {
            let id = queue.destination;
            let Some(mut destination) = self.destinations.get_mut(&id).map(std::mem::take) else { continue };
            self.serve(&mut destination, queue.messages, actions);
            self.destinations.insert(id, destination);
            self.report_outages(id, actions);
        }
    }

    fn serve(
        &mut self,
        destination: &mut Destination,
        mut queue: VecDeque<MessageHandle>,
        actions: &mut Vec<Action>,
    ) {
        self.open_silent_breakers(destination);
        if self.settings.cancelling && !queue.is_empty() && self.free_slots() == 0 {
            self.cancel_lost_calls(destination, actions);
        }
        while let Some(message) = queue.pop_front() {
            if !self.is_next_of_its_key(message) {
                continue;
            }
            let open = destination.open_routes(self.now);
            if open.is_empty() || !self.may_take_slot(destination) {
                return;
            }
            let Some(index) = self.choose_route(destination, message, &open) else { continue };
            let bundle = self.take_bundle(destination, index, message, &mut queue);
            self.send(destination, bundle, index, actions);
        }
    }

    /// Slots that no call of ours and none of the other process uses; one at the least is ours.
    fn free_slots(&self) -> usize {
        let used_by_peer = self.slots_used_by_peer.min(self.settings.slots.saturating_sub(1));
        self.settings.slots.saturating_sub(self.calls_in_flight + used_by_peer)
    }

    /// Departure (few slots are free): a destination leaves some to others, and more of them while a call to
    /// it is overdue with no answer since. A lost one among answered ones shows nothing.
    fn may_take_slot(&self, destination: &Destination) -> bool {
        let stuck =
            (0..destination.routes.len()).any(|index| destination.unanswered_calls(index, self.now) > 0);
        let slots = self.free_slots() * if stuck { 1 } else { SLOTS_PER_FREE_SLOT };
        let in_flight: usize = destination.routes.iter().map(|route| route.calls_in_flight).sum();
        slots > 0 && (in_flight == 0 || in_flight < slots * destination.max_bundle)
    }

    /// The messages that go with the first one in a call; a half-open probe carries one.
    fn take_bundle(
        &self,
        destination: &Destination,
        index: usize,
        first: MessageHandle,
        queue: &mut VecDeque<MessageHandle>,
    ) -> Vec<MessageHandle> {
        let max_bundle = if destination.is_down(index) { 1 } else { destination.max_bundle };
        let route = &destination.routes[index];
        let joins = |&id: &MessageHandle| self.is_next_of_its_key(id) && self.is_allowed(id, route);
        let mut bundle = vec![first];
        while bundle.len() < max_bundle && queue.front().is_some_and(joins) {
            bundle.extend(queue.pop_front());
        }
        bundle
    }

    /// Departure (all slots are taken): a call that is lost by itself is cancelled; others need its slot
    /// more.
    fn cancel_lost_calls(&self, destination: &mut Destination, actions: &mut Vec<Action>) {
        let lost: Vec<u64> = destination
            .calls
            .iter()
            .filter(|call| self.is_lost(destination, call))
            .map(|call| call.id)
            .collect();
        if lost.is_empty() {
            return;
        }
        for (&id, message) in &self.messages {
            let effect = self.settings.classes[message.weight.class].effect;
            let Some(in_flight) = message.in_flight else { continue };
            if effect != Effect::NotIdempotent && lost.contains(&in_flight.call) {
                actions.push(Action::Cancel { id, attempt: in_flight.attempt });
            }
        }
        destination.calls.mark_cancelled(&lost);
    }

    /// Whether a call is overdue by far, though calls sent later were answered by its route.
    fn is_lost(&self, destination: &Destination, call: &Call) -> bool {
        let Some(index) = destination.route_index(call.route) else { return false };
        let age = self.now - call.sent_at;
        !call.has_outcome
            && !call.is_cancelled()
            && call.later_answers >= LATER_ANSWERS
            && age > LOST_STRETCH * destination.overdue_after(index)
    }

    /// Whether a message may go as far as its ordering key is concerned: one at a time, in the order of
    /// acceptance.
    fn is_next_of_its_key(&self, id: MessageHandle) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let key = message.ordering_key;
        self.key_ordering.is_first(key, id) && !self.key_ordering.is_paused(key, id, self.now)
    }

    /// Departure (calls are overdue, with no answer since): a silent route is down before its calls time out.
    fn open_silent_breakers(&mut self, destination: &mut Destination) {
        for scope in destination.all_breaker_scopes() {
            if !destination.is_silent(scope, self.now) {
                continue;
            }
            destination.breaker_mut(scope).failing_since = self.now;
            self.open_breaker(destination, scope, 0.0, true);
            if scope == Scope::All {
                destination.reset_route_breakers();
            }
        }
    }
}
