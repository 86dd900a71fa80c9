//! The known receivers, destinations and zones, with their ids in the policy.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_gossip::ReceiverId;
use rudderspindle_policy::interface::{DestinationId, Listing, RouteId};
use tokio::time::Instant;

use crate::event::ListedReceiver;

/// How long a removed receiver keeps its id. This time is longer than the policy keeps the state of a removed receiver,
/// so that a receiver that is listed again while the policy has its state keeps that state.
const REMOVED_RECEIVER_RETENTION: Duration = Duration::from_secs(70);

/// A receiver that is listed or was removed recently.
#[derive(Debug)]
struct KnownReceiver {
    /// The receiver's id in the policy.
    route: RouteId,
    /// The receiver's destination as last listed; `None` if the receiver was never listed.
    destination: Option<DestinationId>,
    /// When the receiver was removed from the list; `None` while it is listed.
    removed_at: Option<Instant>,
}

/// The known receivers, that is, those that are listed or were removed recently, with their destinations and zones.
#[derive(Debug)]
pub(super) struct EndpointTable {
    /// The known receivers, by their id in the endpoint list.
    receivers: HashMap<Rc<str>, KnownReceiver>,
    /// The policy's id for the next receiver that is added.
    next_route: u64,
    /// The destinations of the known receivers.
    destinations: HashSet<DestinationId>,
    /// Names of the zones; the index of a name is the zone's id in the policy.
    zones: Vec<String>,
}

impl EndpointTable {
    /// Creates a table without receivers; `zones` are those of the settings.
    pub fn new(zones: Vec<String>) -> Self {
        Self { receivers: HashMap::new(), next_route: 0, destinations: HashSet::new(), zones }
    }

    /// Whether a receiver of this destination is known.
    pub fn has_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Whether no destination is known.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Number of listed receivers.
    pub fn listed_receiver_count(&self) -> usize {
        self.receivers.values().filter(|known| known.removed_at.is_none()).count()
    }

    /// The listed receivers, ordered by destination and route.
    pub fn listed_receivers(&self) -> Vec<ListedReceiver> {
        let listed = self.receivers.iter().filter(|(_, known)| known.removed_at.is_none());
        let mut listed: Vec<ListedReceiver> = listed
            .filter_map(|(name, known)| {
                let destination = known.destination?;
                let receiver = ReceiverId::of(destination.0, name);
                Some(ListedReceiver { destination, route: known.route, receiver })
            })
            .collect();
        // The iteration order of the map is random.
        listed.sort_unstable();
        listed
    }

    /// The policy's id of a receiver, if the receiver is known.
    pub fn find_route(&self, receiver: &str) -> Option<RouteId> {
        self.receivers.get(receiver).map(|known| known.route)
    }

    /// The destination of a receiver; `None` if the receiver is unknown or was never listed.
    pub fn destination(&self, receiver: &str) -> Option<DestinationId> {
        self.receivers.get(receiver)?.destination
    }

    /// The policy's id of a receiver. An unknown receiver is added with a new id, and counts as removed.
    pub fn find_or_add_route(&mut self, receiver: &str, now: Instant) -> RouteId {
        if let Some(known) = self.receivers.get(receiver) {
            return known.route;
        }
        let route = RouteId(self.next_route);
        self.next_route += 1;
        let known = KnownReceiver { route, destination: None, removed_at: Some(now) };
        self.receivers.insert(receiver.into(), known);
        route
    }

    /// The policy's id of a zone. An unknown zone is added with the next id below `u8::MAX`. Once these ids are used
    /// up, all other zones share the id `u8::MAX`.
    pub fn find_or_add_zone(&mut self, zone: &str) -> u8 {
        let known_id = self.zones.iter().position(|name| name == zone);
        let next_id = self.zones.len();
        if known_id.is_none() && next_id < usize::from(u8::MAX) {
            self.zones.push(zone.to_owned());
        }
        known_id.unwrap_or(next_id) as u8
    }

    /// Updates a known receiver from its entry in the endpoint list; ignores an unknown receiver.
    pub fn update(&mut self, receiver: &str, destination: DestinationId, listing: Listing, now: Instant) {
        let Some(known) = self.receivers.get_mut(receiver) else { return };
        if listing == Listing::Removed {
            known.removed_at = known.removed_at.or(Some(now));
        } else {
            known.removed_at = None;
            known.destination = Some(destination);
        }
    }

    /// Marks all receivers as removed that are not `listed` in a complete list.
    pub fn mark_removed_except(&mut self, listed: &HashSet<RouteId>, now: Instant) {
        for known in self.receivers.values_mut().filter(|known| !listed.contains(&known.route)) {
            known.removed_at = known.removed_at.or(Some(now));
        }
    }

    /// Discards the receivers that were removed at least [`REMOVED_RECEIVER_RETENTION`] ago, and the destinations that
    /// no known receiver has.
    pub fn discard_expired(&mut self, now: Instant) {
        self.receivers
            .retain(|_, known| known.removed_at.is_none_or(|at| now - at < REMOVED_RECEIVER_RETENTION));
        self.destinations = self.receivers.values().filter_map(|known| known.destination).collect();
    }

    /// Total number of receivers and destinations.
    #[cfg(test)]
    pub fn entry_count(&self) -> usize {
        self.receivers.len() + self.destinations.len()
    }

    /// Number of zones.
    #[cfg(test)]
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }
}

#[cfg(test)]
mod tests;
