//! Translates endpoint lists into events for the policy, and updates the endpoint table and the outbound routes.

use std::collections::HashSet;

use rudderspindle_policy::interface::{DestinationId, ListChange, Listing, RouteEntry, RouteId};
use tokio::time::Instant;

use super::Engine;
use crate::event::{Endpoint, EndpointList};
use crate::outbound::Route;

impl Engine {
    /// Applies an endpoint list from discovery, and returns the change for the policy.
    pub(super) fn apply_list(&mut self, list: &EndpointList) -> ListChange {
        self.listed_endpoints.record_received();
        let entries = self.apply_entries(list);
        if list.complete { ListChange::Full(entries) } else { ListChange::Delta(entries) }
    }

    /// Applies the entries of an endpoint list; if the list is complete, marks the receivers that are not in it as
    /// removed. Returns the entries for the policy.
    pub(super) fn apply_entries(&mut self, list: &EndpointList) -> Vec<RouteEntry> {
        let now = Instant::now();
        self.listed_endpoints.apply(list);
        let entries: Vec<RouteEntry> =
            list.members.iter().map(|endpoint| self.apply_endpoint(endpoint, now)).collect();
        if list.complete {
            let listed: HashSet<RouteId> = entries.iter().map(|entry| entry.route).collect();
            self.io.outbound.retain_routes(&listed);
            self.endpoints.mark_removed_except(&listed, now);
        }
        self.endpoints.discard_expired(now);
        entries
    }

    /// Applies one entry to the endpoint table and the outbound routes; returns the entry for the policy.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Instant) -> RouteEntry {
        let kind_index = self.kind_index(endpoint);
        let listing = listing(endpoint);
        let entry = RouteEntry {
            route: self.endpoints.find_or_add_route(&endpoint.id, now),
            destination: DestinationId(endpoint.destination),
            zone: self.endpoints.find_or_add_zone(&endpoint.zone),
            kind: kind_index as u16,
            listing,
            rate: endpoint.rate,
        };
        self.endpoints.update(&endpoint.id, entry.destination, listing, now);
        let route = Route {
            addr: endpoint.host_port.parse().ok(),
            receiver: endpoint.id.as_str().into(),
            zone: endpoint.zone.as_str().into(),
            destination: entry.destination,
            has_own_backoff: self.settings.kinds.get(kind_index).is_some_and(|kind| kind.limit_per_route),
            listing,
        };
        self.io.outbound.update_route(entry.route, route);
        entry
    }

    /// Index of the endpoint's kind in the settings; the last kind if the settings do not have it.
    fn kind_index(&self, endpoint: &Endpoint) -> usize {
        let known_index = self.names.kinds.iter().position(|name| *name == endpoint.kind);
        known_index.unwrap_or(self.settings.kinds.len().saturating_sub(1))
    }
}

/// Whether a receiver accepts calls, by its lifecycle phase.
pub(super) fn listing(endpoint: &Endpoint) -> Listing {
    match endpoint.phase.as_str() {
        "SERVING" => Listing::Ready,
        "DELETED" => Listing::Removed,
        _ => Listing::Draining,
    }
}
