//! The endpoint list.

use crate::random::Random;

/// Number of routes of each destination at the start.
const ROUTES: [u64; 7] = [1, 2, 3, 4, 2, 1, 3];
/// Number of destinations.
pub(crate) const DESTINATIONS: u64 = ROUTES.len() as u64;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The route.
    pub route: u64,
    /// Its destination.
    pub destination: u16,
    /// Its zone.
    pub zone: u8,
    /// Its destination's kind.
    pub kind: u16,
    /// 0 removed, 1 ready, 2 draining.
    pub listing: u8,
    /// The listed rate, in calls per second.
    pub rate: f32,
}

/// How the entries change the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// They are the complete list.
    Full,
    /// They are the complete list from a cache.
    Cached,
    /// They are the changed entries.
    Delta,
    /// There are none: the subscription failed.
    Failed,
}

/// The list at the start.
pub(crate) fn initial_entries(random: &mut Random) -> Vec<ListEntry> {
    let mut entries = Vec::new();
    for (destination, &routes) in ROUTES.iter().enumerate() {
        entries.extend((0..routes).map(|number| ListEntry::draw(destination as u16, number, random)));
    }
    entries
}

impl ListEntry {
    /// A ready route with a random rate.
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
