//! Applies changes of the endpoint list to the routes. No decision.

use super::Policy;
use super::state::Route;
use crate::interface::{ListChange, Listing, RouteEntry};

impl Policy {
    /// Applies a change of the list, and forgets what has been removed for long.
    pub(super) fn apply_list_change(&mut self, change: &ListChange) {
        let entries = match change {
            ListChange::Full(entries) | ListChange::Cached(entries) => {
                self.remove_all_routes();
                entries
            }
            ListChange::Delta(entries) => entries,
            ListChange::Failed => {
                self.subscribe_again();
                return;
            }
        };
        for entry in entries {
            self.apply_entry(entry);
        }
        self.forget_removed_routes();
    }

    fn remove_all_routes(&mut self) {
        for destination in self.destinations.values_mut() {
            for route in &mut destination.routes {
                route.listing = Listing::Gone;
            }
        }
    }

    fn apply_entry(&mut self, entry: &RouteEntry) {
        if let Some(route) = self.known_route(entry) {
            route.listing = entry.listing;
        } else if entry.listing != Listing::Gone {
            self.add_route(entry);
        }
    }

    fn known_route(&mut self, entry: &RouteEntry) -> Option<&mut Route> {
        let routes = &mut self.destinations.get_mut(&entry.destination)?.routes;
        routes.iter_mut().find(|route| route.id == entry.route)
    }

    fn add_route(&mut self, entry: &RouteEntry) {
        let throttle = self.new_throttle(entry);
        let last_kind = self.settings.kinds.len() - 1;
        let kind = &self.settings.kinds[usize::from(entry.kind).min(last_kind)];
        let destination = self.destinations.entry(entry.destination).or_default();
        destination.max_bundle = kind.bundle_max;
        destination.routes_apart = kind.routes_apart;
        if destination.routes.is_empty() {
            destination.shared_throttle = throttle.clone();
        }
        destination.routes.push(Route {
            id: entry.route,
            zone: entry.zone,
            listing: entry.listing,
            throttle,
            ..Route::default()
        });
    }
}
