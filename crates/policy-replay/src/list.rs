//! The endpoint list that the simulated host passes to the policy.

use crate::random::Random;

/// Number of routes of each destination at the start.
const ROUTES: [u64; 7] = [1, 2, 3, 4, 2, 1, 3];
/// Number of destinations.
pub(crate) const DESTINATIONS: u64 = ROUTES.len() as u64;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Address and port of the route, as one number.
    pub route: u64,
    /// Number of the destination that the route belongs to.
    pub destination: u16,
    /// Zone of the route.
    pub zone: u8,
    /// Kind of the destination, as numbered in the settings; may be unknown to the policy.
    pub kind: u16,
    /// State of the route: 0 removed, 1 ready, 2 draining.
    pub listing: u8,
    /// Rate limit announced in the list, in calls per second.
    pub rate: f32,
}

/// Meaning of the entries of an [`Input::List`](crate::Input::List).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries are the complete list.
    Full,
    /// The entries are the complete list, read from a cache.
    Cached,
    /// The entries are those that have changed.
    Delta,
    /// The subscription failed, and there are no entries.
    Failed,
}

/// Returns the list at the start of a session.
pub(crate) fn initial_entries(random: &mut Random) -> Vec<ListEntry> {
    let mut entries = Vec::new();
    for (destination, &routes) in ROUTES.iter().enumerate() {
        entries.extend((0..routes).map(|number| ListEntry::draw(destination as u16, number, random)));
    }
    entries
}

impl ListEntry {
    /// Returns a ready route with a random rate.
    pub(crate) fn draw(destination: u16, number: u64, random: &mut Random) -> Self {
        let address = (10 << 24) | (u64::from(destination) << 8) | number;
        Self {
            route: address << 16 | (8_000 + number),
            destination,
            zone: (number % 2) as u8,
            kind: destination % 4,
            listing: 1,
            rate: random.between(2, 30) as f32,
        }
    }
}
