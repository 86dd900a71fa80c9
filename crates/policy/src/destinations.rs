//! All destinations, as the endpoint list names them, and which of them have waiting messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::context::Context;
use crate::destination::Destination;
use crate::interface::{DestinationId, Listing, MessageHandle, Millis, RouteEntry, RouteId};
use crate::throttle::CapacitySource;

/// The destinations by id.
#[derive(Debug, Default)]
pub(crate) struct Destinations {
    by_id: BTreeMap<DestinationId, Destination>,
    /// Destinations with waiting messages: only these are served.
    busy: BTreeSet<DestinationId>,
}

/// Access and waiting messages.
impl Destinations {
    /// A destination.
    pub fn get_mut(&mut self, id: DestinationId) -> Option<&mut Destination> {
        self.by_id.get_mut(&id)
    }

    /// All destinations.
    pub fn iter(&self) -> impl Iterator<Item = &Destination> {
        self.by_id.values()
    }

    fn get_or_insert(&mut self, id: DestinationId) -> &mut Destination {
        self.by_id.entry(id).or_insert_with(|| Destination::new(id))
    }

    /// Adds a waiting message to a destination, whether the list names it or not.
    pub fn enqueue(&mut self, id: DestinationId, message: MessageHandle) {
        self.get_or_insert(id).enqueue(message);
        self.busy.insert(id);
    }

    /// Destinations with waiting messages.
    pub fn busy(&self) -> impl Iterator<Item = &Destination> {
        self.busy.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Updates which destinations have waiting messages.
    pub fn remove_idle_from_busy(&mut self) {
        let by_id = &self.by_id;
        self.busy.retain(|id| by_id.get(id).is_some_and(|destination| !destination.waiting().is_empty()));
    }
}

/// Changes of the endpoint list.
impl Destinations {
    /// Marks all routes as removed, before a complete list names those that are left.
    pub fn remove_all_routes(&mut self) {
        for destination in self.by_id.values_mut() {
            destination.remove_all_routes();
        }
    }

    /// Applies the entries of a list, and drops what it removed long ago.
    pub fn apply_entries(&mut self, context: &Context, entries: &[RouteEntry], source: CapacitySource) {
        for entry in entries {
            let destination = self.by_id.get_mut(&entry.destination);
            let is_known = destination.is_some_and(|known| known.update_route(entry));
            if !is_known && entry.listing != Listing::Removed {
                self.add_route(context, entry, source);
            }
        }
        self.drop_outdated_routes(context.now);
    }

    fn add_route(&mut self, context: &Context, entry: &RouteEntry, source: CapacitySource) {
        let last_kind = context.settings.kinds.len() - 1;
        let kind = &context.settings.kinds[usize::from(entry.kind).min(last_kind)];
        self.get_or_insert(entry.destination).add_route(context, entry, kind, source);
    }

    /// Drops the routes that the list removed long ago, and unused destinations.
    fn drop_outdated_routes(&mut self, now: Millis) {
        for destination in self.by_id.values_mut() {
            destination.drop_outdated_routes(now);
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
