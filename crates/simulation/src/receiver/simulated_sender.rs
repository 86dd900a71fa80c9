//! One simulated sender: its policy, and the parts of its process that the policy needs.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    DemandExchange, Incarnation, LimitId, LocalDemand, OutgoingDatagram, PermitError, PermitLedger,
    RecoveryRamp,
};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{
    AttemptHistory, CapacityUpdate, Demand, DestinationId, Event, LimitScope, Millis, OutageState, Permit,
    PermitUpdate, PersistedOutage, RouteId,
};

use super::clock::wall_clock;
use super::open_messages::{OpenMessages, message};
use super::recovery_load::OutageKnowledge;
use super::scenario::{LimitEnforcement, Scenario};
use super::settings::{DEADLINE, sender_settings};
use super::{age_outage_state, list_event};
use crate::SeededRng;
use crate::permit_datagrams::{PermitDatagrams, due_permit_datagrams};

/// How long the capacity from one round of sums is valid, ms.
const CAPACITY_VALIDITY: Millis = 1_000.0;
/// Distinguishes the draws of the senders' clocks from others.
const CLOCK_SEED: u64 = 0xc10c;

/// A wake-up requested by the policy.
#[derive(Clone, Copy, Debug)]
pub(super) struct WakeUp {
    pub at: Millis,
    pub token: u64,
}

/// An outage state that survives a restart.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredOutage {
    pub at: Millis,
    pub outage: OutageState,
}

/// A sender of a scenario.
pub(super) struct SimulatedSender {
    pub policy: Policy,
    pub demand_exchange: DemandExchange,
    /// Present where each call needs a permit.
    permits: Option<PermitLedger>,
    /// The fraction of each limit that the receiver accepts by the fleet's reports; 1 where absent.
    available_fractions: BTreeMap<LimitId, f64>,
    /// Offset of its wall clock, ms.
    pub clock_ahead: u64,
    /// Whether its process runs.
    pub is_running: bool,
    /// Events for the policy's next batch.
    pub events: Vec<Event>,
    pub wake_up: Option<WakeUp>,
    pub open: OpenMessages,
    /// Remembered outage states, by route where routes have separate limits.
    pub remembered: BTreeMap<Option<RouteId>, StoredOutage>,
    /// Number of restarts.
    pub restarts: u64,
    /// Whether one of its calls failed in the outage, before or after a restart.
    pub saw_failure: bool,
}

impl SimulatedSender {
    /// A sender without any state, after this number of restarts.
    pub fn new(scenario: &Scenario, index: usize, restarts: u64, now: Millis) -> Self {
        let settings = sender_settings(scenario);
        let start = settings.ramp(0.0);
        let after_a_second = settings.ramp(1_000.0);
        let seed = scenario.seed * 64 + index as u64 * 8 + restarts;
        let mut policy = Policy::new(settings, seed).expect("settings that work");
        let has_gossip = scenario.gossip_network.is_some();
        let needs_permits = has_gossip && scenario.enforcement == LimitEnforcement::Permits;
        if has_gossip {
            policy.expect_capacity_reports();
        }
        if needs_permits {
            policy.require_permits();
        }
        let clock_ahead = draw_clock_offset(scenario, index);
        let permits = || {
            let wall = wall_clock(now, clock_ahead);
            PermitLedger::new(index, scenario.senders, Incarnation(restarts + 1), wall)
        };
        let ramp = RecoveryRamp { initial_fraction: start, growth_per_s: after_a_second - start };
        Self {
            policy,
            demand_exchange: DemandExchange::new(index, scenario.senders, ramp),
            permits: needs_permits.then(permits),
            available_fractions: BTreeMap::new(),
            clock_ahead,
            is_running: true,
            events: vec![list_event(scenario, scenario.routes)],
            wake_up: None,
            open: OpenMessages::new(),
            remembered: BTreeMap::new(),
            restarts,
            saw_failure: false,
        }
    }

    /// This sender after a restart, with its open messages and remembered outage states.
    pub fn restarted(&self, scenario: &Scenario, index: usize, now: Millis) -> Self {
        let mut sender = Self::new(scenario, index, self.restarts + 1, now);
        sender.saw_failure = self.saw_failure;
        sender.remembered.clone_from(&self.remembered);
        for (&route, remembered) in &self.remembered {
            let outage = age_outage_state(remembered.outage, now - remembered.at);
            let scope = LimitScope { destination: DestinationId(0), route };
            sender.events.push(Event::PersistedOutage(PersistedOutage { scope, outage }));
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

    /// What the sender has observed of the outage when it calls this route.
    pub fn knowledge(&self, route: RouteId) -> OutageKnowledge {
        let remembered = |key: Option<RouteId>| {
            let outage = self.remembered.get(&key).map(|remembered| remembered.outage);
            outage.filter(|outage| *outage != OutageState::Healthy)
        };
        match remembered(None).or(remembered(Some(route))) {
            Some(OutageState::Down { .. }) => OutageKnowledge::Down,
            Some(_) => OutageKnowledge::WarmingUp,
            None if self.saw_failure => OutageKnowledge::SawFailures,
            None => OutageKnowledge::Unaware,
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

    /// Updates the policy's capacity from the last round of sums, if there was one.
    fn update_capacity(&mut self, wall: UnixMillis, demands: &[Demand]) {
        self.available_fractions.clear();
        let Some(capacities) = self.demand_exchange.capacities(wall) else { return };
        for demand in demands {
            let limit_id = limit_id(demand);
            let fraction = self.demand_exchange.available_fraction(limit_id, demand.limit);
            self.available_fractions.insert(limit_id, fraction);
            let capacity = capacities.iter().find(|capacity| capacity.limit_id == limit_id);
            self.events.push(Event::Capacity(CapacityUpdate {
                scope: demand.scope,
                rate_per_demand: capacity.map_or(f64::INFINITY, |capacity| capacity.rate_per_demand),
                fleet_demand: self.demand_exchange.fleet_demand(limit_id),
                valid_for: CAPACITY_VALIDITY,
            }));
        }
    }

    /// The datagrams of the permits that are due, `tick` ms after the last call.
    pub fn permit_datagrams(&mut self, wall: UnixMillis, tick: u64) -> Vec<OutgoingDatagram> {
        let Some(permits) = &mut self.permits else { return Vec::new() };
        let demands = || local_demands(&self.policy.demands());
        let PermitDatagrams { datagrams, permits_changed } =
            due_permit_datagrams(permits, wall, tick, demands);
        if permits_changed {
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

    /// Updates the policy's permits.
    fn update_permits(&mut self, wall: UnixMillis) {
        let Some(permits) = &self.permits else { return };
        let from_now = |at: UnixMillis| at.0 as f64 - wall.0 as f64;
        for demand in &self.policy.demands() {
            let limit_id = limit_id(demand);
            let fraction = self.available_fractions.get(&limit_id).copied().unwrap_or(1.0);
            let permits = permits.permits(wall, limit_id, fraction).into_iter().map(|permit| Permit {
                number: permit.number,
                from: from_now(permit.from),
                until: from_now(permit.until),
            });
            let update = PermitUpdate { scope: demand.scope, permits: permits.collect() };
            self.events.push(Event::Permits(update));
        }
    }
}

fn draw_clock_offset(scenario: &Scenario, index: usize) -> u64 {
    let mut rng = SeededRng::new(scenario.seed ^ (CLOCK_SEED + index as u64));
    (scenario.max_clock_skew as f64 * rng.unit()).round() as u64
}

fn limit_id(demand: &Demand) -> LimitId {
    let LimitScope { destination, route } = demand.scope;
    LimitId::of(destination.0, route.map(|route| route.0.to_string()).as_deref())
}

fn local_demands(demands: &[Demand]) -> Vec<LocalDemand> {
    let local_demand = |demand: &Demand| LocalDemand {
        limit_id: limit_id(demand),
        limit: demand.limit,
        demand: demand.calls_wanted,
        calls: demand.calls_made,
        rejected: demand.rejected,
        failed: demand.failed,
    };
    demands.iter().map(local_demand).collect()
}
