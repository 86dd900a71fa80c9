//! All destinations of the endpoint list, and which of them have waiting messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::context::Context;
use crate::destination::Destination;
use crate::interface::{DestinationId, Listing, MessageHandle, Millis, RouteEntry, RouteId};
use crate::throttle::CapacitySource;

/// The destinations of the endpoint list. A destination that was removed from the list is deleted once it has
/// neither routes nor waiting messages.
#[derive(Debug, Default)]
pub(crate) struct Destinations {
    by_id: BTreeMap<DestinationId, Destination>,
    /// Destinations with waiting messages; the others need not be served.
    with_waiting_messages: BTreeSet<DestinationId>,
}

/// Access to the destinations, and the set of those with waiting messages.
impl Destinations {
    pub fn get_mut(&mut self, id: DestinationId) -> Option<&mut Destination> {
        self.by_id.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Destination> {
        self.by_id.values()
    }

    fn get_or_insert(&mut self, id: DestinationId) -> &mut Destination {
        self.by_id.entry(id).or_insert_with(|| Destination::new(id))
    }

    /// Adds a waiting message to a destination, which need not be in the list.
    pub fn enqueue(&mut self, id: DestinationId, message: MessageHandle) {
        self.get_or_insert(id).enqueue(message);
        self.with_waiting_messages.insert(id);
    }

    /// The destinations with waiting messages, as of the last update.
    pub fn with_waiting_messages(&self) -> impl Iterator<Item = &Destination> {
        self.with_waiting_messages.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Removes the destinations without waiting messages from the set of those with waiting messages.
    pub fn update_with_waiting_messages(&mut self) {
        let by_id = &self.by_id;
        self.with_waiting_messages
            .retain(|id| by_id.get(id).is_some_and(|destination| !destination.waiting().is_empty()));
    }
}

/// Changes of the endpoint list.
impl Destinations {
    /// Marks all routes as removed, before the entries of a complete list are applied.
    pub fn mark_all_routes_removed(&mut self) {
        for destination in self.by_id.values_mut() {
            destination.mark_all_routes_removed();
        }
    }

    /// Applies entries of the list, and deletes routes that were removed long ago.
    pub fn apply_entries(&mut self, context: &Context, entries: &[RouteEntry], source: CapacitySource) {
        for entry in entries {
            let destination = self.by_id.get_mut(&entry.destination);
            let is_known = destination.is_some_and(|known| known.update_route(entry));
            if !is_known && entry.listing != Listing::Removed {
                self.add_route(context, entry, source);
            }
        }
        self.delete_outdated_routes(context.now);
    }

    fn add_route(&mut self, context: &Context, entry: &RouteEntry, source: CapacitySource) {
        let last_kind = context.settings.kinds.len() - 1;
        let kind = &context.settings.kinds[usize::from(entry.kind).min(last_kind)];
        self.get_or_insert(entry.destination).add_route(context, entry, kind, source);
    }

    /// Deletes the routes that were removed from the list long ago, and unused destinations.
    fn delete_outdated_routes(&mut self, now: Millis) {
        for destination in self.by_id.values_mut() {
            destination.delete_outdated_routes(now);
        }
        self.by_id.retain(|_, destination| !destination.is_unused());
    }

    /// Replaces the set of routes that other senders have ejected as outliers.
    pub fn apply_ejections(&mut self, ejected: &[RouteId]) {
        for destination in self.by_id.values_mut() {
            destination.apply_ejections(ejected);
        }
    }
}
