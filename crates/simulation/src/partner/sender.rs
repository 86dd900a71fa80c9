//! One simulated sender: its policy, and what its process does for the policy.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    DemandExchange, Incarnation, LimitId, LocalDemand, OutgoingDatagram, PermitError, PermitLedger,
    RecoveryRamp,
};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{
    AttemptHistory, Demand, DestinationId, Event, Millis, OutageState, Permit, RouteId,
};

use super::draw::Draw;
use super::network::wall_clock;
use super::open_messages::{OpenMessages, message};
use super::scene::{Bound, Scene};
use super::seen::Knows;
use super::settings::{DEADLINE, settings_of};
use super::{aged, list_event};

/// How long the capacity of one round of sums may be relied on, ms.
const CAPACITY_VALIDITY: Millis = 1_000.0;
/// Distinguishes the draws of the senders' clocks from others.
const CLOCK_SEED: u64 = 0xc10c;

/// A wake-up that the policy asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct WakeUp {
    pub at: Millis,
    pub token: u64,
}

/// An outage that the policy asked to have remembered over a restart.
#[derive(Clone, Copy, Debug)]
pub(super) struct RememberedOutage {
    pub at: Millis,
    pub outage: OutageState,
}

/// A sender of a scene.
pub(super) struct SimulatedSender {
    pub policy: Policy,
    pub demand_exchange: DemandExchange,
    /// Present where each call needs a permit.
    permits: Option<PermitLedger>,
    /// The part of each limit that the receiver is believed to take, from the fleet's reports; the whole where absent.
    available_fractions: BTreeMap<LimitId, f64>,
    /// How far its wall clock is ahead, ms.
    pub clock_ahead: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Events for the policy's next batch.
    pub events: Vec<Event>,
    pub wake_up: Option<WakeUp>,
    pub open: OpenMessages,
    /// By route where routes are apart.
    pub remembered: BTreeMap<Option<RouteId>, RememberedOutage>,
    /// Restarts so far.
    pub restarts: u64,
    /// Whether a call of its failed in the outage, before or after a restart.
    pub saw_failure: bool,
}

impl SimulatedSender {
    /// A sender without any state, after so many restarts.
    pub fn new(scene: &Scene, index: usize, restarts: u64, now: Millis) -> Self {
        let settings = settings_of(scene);
        let start = settings.ramp(0.0);
        let after_a_second = settings.ramp(1_000.0);
        let seed = scene.seed * 64 + index as u64 * 8 + restarts;
        let mut policy = Policy::new(settings, seed).expect("settings that work");
        if scene.notes.is_some() {
            policy.expect_capacity_reports();
        }
        let strict = scene.notes.is_some() && scene.bound == Bound::Strict;
        if strict {
            policy.require_permits();
        }
        let clock_ahead = draw_clock(scene, index);
        let permits = || {
            let wall = wall_clock(now, clock_ahead);
            PermitLedger::new(index, scene.senders, Incarnation(restarts + 1), wall)
        };
        let ramp = RecoveryRamp { initial_fraction: start, growth_per_s: after_a_second - start };
        Self {
            policy,
            demand_exchange: DemandExchange::new(index, scene.senders, ramp),
            permits: strict.then(permits),
            available_fractions: BTreeMap::new(),
            clock_ahead,
            up: true,
            events: vec![list_event(scene, scene.routes)],
            wake_up: None,
            open: OpenMessages::new(),
            remembered: BTreeMap::new(),
            restarts,
            saw_failure: false,
        }
    }

    /// This sender after a restart: it keeps its open messages and what its policy asked to have remembered.
    pub fn restarted(&self, scene: &Scene, index: usize, now: Millis) -> Self {
        let mut sender = Self::new(scene, index, self.restarts + 1, now);
        sender.saw_failure = self.saw_failure;
        sender.remembered.clone_from(&self.remembered);
        for (&route, remembered) in &self.remembered {
            let outage = aged(remembered.outage, now - remembered.at);
            sender.events.push(Event::Remembered { destination: DestinationId(0), route, outage });
        }
        for (&id, open) in &self.open {
            let time_left = DEADLINE - (now - open.submitted_at);
            if time_left > 0.0 {
                let history = AttemptHistory { attempts: open.attempts, possibly_executed: None };
                sender.events.push(Event::Recovered(message(id, open.class, time_left), history));
                sender.open.insert(id, *open);
            }
        }
        sender
    }

    /// What the sender knows of the outage as it calls this route.
    pub fn knowledge(&self, route: RouteId) -> Knows {
        let remembered = |key: Option<RouteId>| {
            let outage = self.remembered.get(&key).map(|remembered| remembered.outage);
            outage.filter(|outage| *outage != OutageState::Healthy)
        };
        match remembered(None).or(remembered(Some(route))) {
            Some(OutageState::Down { .. }) => Knows::Down,
            Some(_) => Knows::Cold,
            None if self.saw_failure => Knows::Failures,
            None => Knows::Nothing,
        }
    }

    /// The datagrams of the demand exchange that are due, `tick` ms after the last call.
    pub fn demand_datagrams(&mut self, wall: UnixMillis, tick: u64) -> Vec<OutgoingDatagram> {
        let sums_due = self.demand_exchange.next_sums().is_some_and(|at| at <= wall);
        let mut datagrams = if sums_due { self.demand_exchange.sums(wall) } else { Vec::new() };
        if self.demand_exchange.next_report(wall - tick) <= wall {
            datagrams.extend(self.report_demand(wall));
        }
        datagrams
    }

    fn report_demand(&mut self, wall: UnixMillis) -> Vec<OutgoingDatagram> {
        let demands = self.policy.demands();
        let datagrams = self.demand_exchange.report(wall, &local_demands(&demands));
        self.update_capacity(wall, &demands);
        datagrams
    }

    /// Tells the policy its capacity by the last round of sums, if there was one.
    fn update_capacity(&mut self, wall: UnixMillis, demands: &[Demand]) {
        self.available_fractions.clear();
        let Some(capacities) = self.demand_exchange.capacities(wall) else { return };
        for demand in demands {
            let limit_id = limit_id(demand);
            let fraction = self.demand_exchange.available_fraction(limit_id, demand.limit);
            self.available_fractions.insert(limit_id, fraction);
            let capacity = capacities.iter().find(|capacity| capacity.limit_id == limit_id);
            self.events.push(Event::Capacity {
                destination: demand.destination,
                route: demand.route,
                calls: capacity.map_or(f64::INFINITY, |capacity| capacity.rate_per_demand),
                wanted: self.demand_exchange.fleet_demand(limit_id),
                lasts: CAPACITY_VALIDITY,
            });
        }
    }

    /// The datagrams of the permits that are due, `tick` ms after the last call.
    pub fn permit_datagrams(&mut self, wall: UnixMillis, tick: u64) -> Vec<OutgoingDatagram> {
        let Some(permits) = &mut self.permits else { return Vec::new() };
        let allocates = permits.next_allocation().is_some_and(|at| at <= wall);
        let mut datagrams = if allocates { permits.allocate(wall) } else { Vec::new() };
        let offers = permits.next_offer(wall - tick) <= wall;
        if offers {
            datagrams.extend(permits.offer(wall, &local_demands(&self.policy.demands())));
        }
        if allocates || offers {
            self.update_permits(wall);
        }
        datagrams
    }

    /// Handles a datagram of the permits.
    pub fn receive_permits(
        &mut self,
        wall: UnixMillis,
        from: usize,
        datagram: &[u8],
    ) -> Result<(), PermitError> {
        let Some(permits) = &mut self.permits else { return Ok(()) };
        if permits.receive(wall, from, datagram)? {
            self.update_permits(wall);
        }
        Ok(())
    }

    /// Tells the policy which permits it holds.
    fn update_permits(&mut self, wall: UnixMillis) {
        let Some(permits) = &self.permits else { return };
        let from_now = |at: UnixMillis| at.0 as f64 - wall.0 as f64;
        for demand in &self.policy.demands() {
            let limit_id = limit_id(demand);
            let fraction = self.available_fractions.get(&limit_id).copied().unwrap_or(1.0);
            let held = permits.permits(wall, limit_id, fraction).into_iter().map(|permit| Permit {
                number: permit.number,
                from: from_now(permit.from),
                until: from_now(permit.until),
            });
            self.events.push(Event::Permits {
                destination: demand.destination,
                route: demand.route,
                permits: held.collect(),
            });
        }
    }
}

fn draw_clock(scene: &Scene, index: usize) -> u64 {
    let mut rng = Draw::new(scene.seed ^ (CLOCK_SEED + index as u64));
    (scene.clocks as f64 * rng.unit()).round() as u64
}

fn limit_id(demand: &Demand) -> LimitId {
    LimitId::of(demand.destination.0, demand.route.map(|route| route.0.to_string()).as_deref())
}

fn local_demands(demands: &[Demand]) -> Vec<LocalDemand> {
    let local_demand = |demand: &Demand| LocalDemand {
        limit_id: limit_id(demand),
        limit: demand.limit,
        demand: demand.wanted,
        calls: demand.called,
        rejected: demand.refused,
        failed: demand.failed,
    };
    demands.iter().map(local_demand).collect()
}
