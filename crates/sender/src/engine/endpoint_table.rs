//! The known receivers, destinations and zones, with their ids in the policy.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_gossip::ReceiverId;
use rudderspindle_policy::interface::{DestinationId, Listing, RouteId};
use tokio::time::Instant;

use crate::event::ListedReceiver;

/// How long a removed receiver keeps its id; longer than the policy keeps the receiver's state, so that a receiver that
/// is listed again does not lose it.
const REMOVED_RECEIVER_RETENTION: Duration = Duration::from_secs(70);

/// A known receiver.
#[derive(Debug)]
struct KnownReceiver {
    /// Its id in the policy.
    route: RouteId,
    /// Its destination, as last listed; `None` if it never was.
    destination: Option<DestinationId>,
    /// When it was removed from the list; `None` while it is listed.
    removed_at: Option<Instant>,
}

/// The receivers that are listed or were removed recently.
#[derive(Debug)]
pub(super) struct EndpointTable {
    /// By the receiver's id in the list.
    receivers: HashMap<Rc<str>, KnownReceiver>,
    next_route: u64,
    destinations: HashSet<DestinationId>,
    /// Names of the zones; the index is the zone's id in the policy.
    zones: Vec<String>,
}

impl EndpointTable {
    /// Creates a table without receivers; `zones` are those of the settings.
    pub fn new(zones: Vec<String>) -> Self {
        Self { receivers: HashMap::new(), next_route: 0, destinations: HashSet::new(), zones }
    }

    /// Whether a receiver of this destination is known.
    pub fn serves(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Whether no destination is known.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Number of listed receivers.
    pub fn listed_count(&self) -> usize {
        self.receivers.values().filter(|known| known.removed_at.is_none()).count()
    }

    /// The listed receivers, ordered.
    pub fn listed(&self) -> Vec<ListedReceiver> {
        let listed = self.receivers.iter().filter(|(_, known)| known.removed_at.is_none());
        let mut listed: Vec<ListedReceiver> = listed
            .filter_map(|(name, known)| {
                let destination = known.destination?;
                let receiver = ReceiverId::of(destination.0, name);
                Some(ListedReceiver { destination, route: known.route, receiver })
            })
            .collect();
        // The map has no defined order.
        listed.sort_unstable();
        listed
    }

    /// The id of a known receiver.
    pub fn find(&self, receiver: &str) -> Option<RouteId> {
        self.receivers.get(receiver).map(|known| known.route)
    }

    /// The destination of a known receiver.
    pub fn destination(&self, receiver: &str) -> Option<DestinationId> {
        self.receivers.get(receiver)?.destination
    }

    /// The id of a receiver; one that is not known yet counts as removed.
    pub fn route(&mut self, receiver: &str, now: Instant) -> RouteId {
        if let Some(known) = self.receivers.get(receiver) {
            return known.route;
        }
        let route = RouteId(self.next_route);
        self.next_route += 1;
        let known = KnownReceiver { route, destination: None, removed_at: Some(now) };
        self.receivers.insert(receiver.into(), known);
        route
    }

    /// The id of a zone. A zone that is not in the settings gets a new id.
    pub fn zone(&mut self, zone: &str) -> u8 {
        let known = self.zones.iter().position(|name| name == zone);
        let next = self.zones.len();
        if known.is_none() && next < usize::from(u8::MAX) {
            self.zones.push(zone.to_owned());
        }
        known.unwrap_or(next) as u8
    }

    /// Records a list entry of a known receiver.
    pub fn update(&mut self, receiver: &str, destination: DestinationId, listing: Listing, now: Instant) {
        let Some(known) = self.receivers.get_mut(receiver) else { return };
        if listing == Listing::Removed {
            known.removed_at = known.removed_at.or(Some(now));
        } else {
            known.removed_at = None;
            known.destination = Some(destination);
        }
    }

    /// Marks all receivers as removed that are not in a complete list.
    pub fn remove_all_but(&mut self, listed: &HashSet<RouteId>, now: Instant) {
        for known in self.receivers.values_mut().filter(|known| !listed.contains(&known.route)) {
            known.removed_at = known.removed_at.or(Some(now));
        }
    }

    /// Discards receivers whose retention is over.
    pub fn forget_removed(&mut self, now: Instant) {
        self.receivers
            .retain(|_, known| known.removed_at.is_none_or(|at| now - at < REMOVED_RECEIVER_RETENTION));
        self.destinations = self.receivers.values().filter_map(|known| known.destination).collect();
    }

    /// Total number of receivers and destinations.
    #[cfg(test)]
    pub fn entries(&self) -> usize {
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
