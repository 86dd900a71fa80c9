//! One sender of a scene, with all that its host keeps for it.

use std::collections::BTreeMap;

use rudderspindle_decide::Sender;
use rudderspindle_decide::interface::*;
use rudderspindle_share::{Fleet, Gate, Own};

pub(super) struct Client {
    pub sender: Sender,
    pub fleet: Fleet,
    pub events: Vec<Event>,
    pub wake: Option<(Millis, u64)>,
    /// Messages that have no end yet: class, when they were handed in, attempts.
    pub open: BTreeMap<u32, (usize, Millis, u32)>,
    /// What it had its host remember, and when.
    pub memories: BTreeMap<Option<RouteId>, (Millis, Trouble)>,
    pub starts: u64,
}

impl Client {
    /// What its host does once a round.
    pub fn report(&mut self, wall: u64) -> Vec<(usize, Vec<u8>)> {
        let wants = self.sender.wants();
        let gate = |want: &Want| Gate::of(want.destination.0, want.route.map(|r| r.0.to_string()).as_deref());
        let own = |want: &Want| {
            let Want { limit, wanted, called, refused, failed, .. } = *want;
            Own { gate: gate(want), limit, wanted, called, refused, failed }
        };
        let letters = self.fleet.report(wall, &wants.iter().map(own).collect::<Vec<_>>());
        if let Some(rooms) = self.fleet.rooms(wall) {
            for want in &wants {
                let room = rooms.iter().find(|(named, _)| *named == gate(want));
                let calls = room.map_or(f64::INFINITY, |room| room.1);
                let (destination, route) = (want.destination, want.route);
                self.events.push(Event::Room { destination, route, calls, lasts: 1_000.0 });
            }
        }
        letters
    }
}
