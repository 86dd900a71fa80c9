//! One sender of a scene, with all that its host keeps for it.

use std::collections::BTreeMap;

use rudderspindle_gossip::{
    DemandExchange, LimitId, LocalDemand, OutgoingDatagram, PermitError, PermitLedger,
};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::*;

use super::seen::Knows;

pub(super) struct Client {
    pub sender: Policy,
    pub fleet: DemandExchange,
    /// Where each call needs a turn.
    pub permits: Option<PermitLedger>,
    /// The part of each limit that the partner is believed to take, as notes tell; all of it where they do not.
    pub takes: BTreeMap<LimitId, f64>,
    /// How far its clock is ahead, ms.
    pub ahead: u64,
    /// Whether its process runs.
    pub up: bool,
    pub events: Vec<Event>,
    pub wake: Option<(Millis, u64)>,
    /// Messages that have no end yet: class, when they were handed in, attempts.
    pub open: BTreeMap<u32, (usize, Millis, u32)>,
    /// What it had its host remember, and when.
    pub memories: BTreeMap<Option<RouteId>, (Millis, OutageState)>,
    pub starts: u64,
    /// Whether a call of its, in any of its lives, came to nothing in the outage.
    pub told: bool,
}

impl Client {
    /// What it knows of the outage as it calls that route.
    pub fn knows(&self, route: RouteId) -> Knows {
        let believed = |of: Option<RouteId>| self.memories.get(&of).map(|m| m.1);
        let outage = |of| believed(of).filter(|t| *t != OutageState::Healthy);
        match outage(None).or(outage(Some(route))) {
            Some(OutageState::Down { .. }) => Knows::Down,
            Some(_) => Knows::Cold,
            None if self.told => Knows::Failures,
            None => Knows::Nothing,
        }
    }
}

fn gate(want: &Demand) -> LimitId {
    LimitId::of(want.destination.0, want.route.map(|r| r.0.to_string()).as_deref())
}

fn own(demands: &[Demand]) -> Vec<LocalDemand> {
    let own = |want: &Demand| {
        let Demand { limit, wanted, called, refused, failed, .. } = *want;
        LocalDemand { limit_id: gate(want), limit, demand: wanted, calls: called, rejected: refused, failed }
    };
    demands.iter().map(own).collect()
}

impl Client {
    /// What its host does once a round of sums.
    pub fn report(&mut self, wall: u64) -> Vec<OutgoingDatagram> {
        let demands = self.sender.demands();
        let datagrams = self.fleet.report(wall, &own(&demands));
        self.takes.clear();
        if let Some(rooms) = self.fleet.capacities(wall) {
            self.takes = demands
                .iter()
                .map(|want| (gate(want), self.fleet.available_fraction(gate(want), want.limit)))
                .collect();
            for want in &demands {
                let room = rooms.iter().find(|capacity| capacity.limit_id == gate(want));
                let calls = room.map_or(f64::INFINITY, |capacity| capacity.rate_per_demand);
                let (destination, route) = (want.destination, want.route);
                let wanted = self.fleet.fleet_demand(gate(want));
                self.events.push(Event::Capacity { destination, route, calls, wanted, lasts: 1_000.0 });
            }
        }
        datagrams
    }

    /// What its host does for its rights, `tick` ms after it last did.
    pub fn keep_rights(&mut self, wall: u64, tick: u64) -> Vec<OutgoingDatagram> {
        let Some(permits) = &mut self.permits else { return Vec::new() };
        let deals = permits.next_allocation().is_some_and(|at| at <= wall);
        let mut datagrams = if deals { permits.allocate(wall) } else { Vec::new() };
        let offers = permits.next_offer(wall - tick) <= wall;
        if offers {
            datagrams.extend(permits.offer(wall, &own(&self.sender.demands())));
        }
        if deals || offers {
            self.tell_turns(wall);
        }
        datagrams
    }

    /// Takes in a note on rights.
    pub fn hear_rights(&mut self, wall: u64, from: usize, note: &[u8]) -> Result<(), PermitError> {
        if self.permits.as_mut().map_or(Ok(false), |permits| permits.receive(wall, from, note))? {
            self.tell_turns(wall);
        }
        Ok(())
    }

    fn tell_turns(&mut self, wall: u64) {
        let Some(permits) = &self.permits else { return };
        let from_now = |at: u64| at as f64 - wall as f64;
        for want in &self.sender.demands() {
            let open = self.takes.get(&gate(want)).copied().unwrap_or(1.0);
            let turns = permits.permits(wall, gate(want), open).into_iter().map(|turn| Permit {
                number: turn.number,
                from: from_now(turn.from),
                until: from_now(turn.until),
            });
            let (destination, route) = (want.destination, want.route);
            self.events.push(Event::Permits { destination, route, permits: turns.collect() });
        }
    }
}
