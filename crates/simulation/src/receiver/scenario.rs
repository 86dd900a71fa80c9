//! What is simulated: the fleet, the receiver's limit, its outage and the load.

use std::ops::Range;

use rudderspindle_policy::interface::Millis;

use crate::SeededRng;

/// Distinguishes the draws of a scenario's parameters from those of its simulation.
const SCENARIO_SEED: u64 = 0x5ce0e;
/// Time from the end of the outage to the end of a random scenario, ms.
const AFTER_OUTAGE: Millis = 14_000.0;

/// The fault of routes in an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// Calls are rejected.
    RejectAll {
        /// Share of the rejections with a Retry-After until the outage's end, from 0 to 1.
        retry_after_probability: f64,
    },
    /// Connections are refused.
    RefuseConnections,
    /// Calls are not answered.
    Unresponsive,
    /// Calls are answered with an error.
    Errors {
        /// Share of the calls that are, from 0 to 1; the others are served.
        share: f64,
    },
}

/// The receiver's rate limit. Rejected calls count against it.
#[derive(Clone, Debug, PartialEq)]
pub enum Limit {
    /// A number of calls in each second.
    Window {
        /// Maximum fraction of a second's limit that is used up by calls rejected in the second before, from 0 to 1.
        carry_over: f64,
    },
    /// A token bucket.
    TokenBucket {
        /// When its rate is halved, ms.
        halved: Range<Millis>,
        /// The Retry-After of each rejection, ms.
        retry_after: Millis,
        /// Maximum debt from rejected calls, in ms of the full rate.
        max_debt: Millis,
    },
}

/// The network that carries the senders' gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipNetwork {
    /// Share of the datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// When all datagrams are lost, ms.
    pub partition: Range<Millis>,
}

impl GossipNetwork {
    /// A network that loses this share of the datagrams.
    pub fn with_loss(loss: f64) -> Self {
        Self { loss, partition: 0.0..0.0 }
    }
}

/// How senders with gossip are kept to the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitEnforcement {
    /// Each sender gets a share of the capacity.
    #[default]
    CapacityShares,
    /// In addition each call needs a permit, which one sender holds at a time.
    Permits,
}

/// A time of higher load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPeak {
    /// Factor on the load.
    pub factor: f64,
    /// When it applies, ms.
    pub period: Range<Millis>,
}

/// Senders that are killed and restarted with their open messages and remembered outages.
#[derive(Clone, Debug, PartialEq)]
pub struct Restart {
    /// Indices of the senders.
    pub senders: Range<usize>,
    /// When they are killed, ms.
    pub killed_at: Millis,
    /// Time until they are started again, ms; their messages are submitted to the next sender meanwhile.
    pub downtime: Millis,
}

/// Routes that are added to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AddedRoutes {
    /// Number of routes.
    pub count: u64,
    /// When they are added, ms.
    pub at: Millis,
}

/// A fleet, its receiver, and their faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of senders.
    pub senders: usize,
    /// Number of senders that messages are submitted to: the first ones.
    pub busy_senders: usize,
    /// Number of senders in the fleet by the senders' settings.
    pub peers: usize,
    /// The receiver's rate limit.
    pub limit: Limit,
    /// The limit, calls a second, as the endpoint list announces it.
    pub announced_rate: f64,
    /// Number of the receiver's routes.
    pub routes: u64,
    /// Whether the senders' settings give each route a separate limit.
    pub limits_per_route: bool,
    /// The fault during the outage.
    pub outage: Outage,
    /// Routes in the outage, by index.
    pub affected_routes: Range<u64>,
    /// Start of the outage, ms.
    pub outage_start: Millis,
    /// End of the outage and start of the recovery ramp, ms.
    pub outage_end: Millis,
    /// Messages submitted over the limit.
    pub load: f64,
    /// A time of higher load.
    pub load_peak: LoadPeak,
    /// The network between the senders; `None` without gossip.
    pub gossip_network: Option<GossipNetwork>,
    /// How senders with gossip are kept to the limit.
    pub enforcement: LimitEnforcement,
    /// Largest difference between two senders' clocks, ms.
    pub max_clock_skew: u64,
    /// The receiver's mean service time of a call, ms.
    pub service_time: Millis,
    /// Senders that are killed and restarted.
    pub restart: Option<Restart>,
    /// Routes that are added to the endpoint list.
    pub added_routes: Option<AddedRoutes>,
    /// Duration of the scenario, ms. Messages are submitted until 4 s before its end.
    pub duration: Millis,
}

impl Scenario {
    /// A scenario with two senders and random parameters; `outage` is given a draw from 0 to 1.
    pub fn random(seed: u64, outage: impl Fn(f64) -> Outage) -> Self {
        let mut rng = SeededRng::new(seed ^ SCENARIO_SEED);
        let outage_start = 6_000.0 + 2_000.0 * rng.unit();
        let outage_end = outage_start + 7_600.0 + 6_400.0 * rng.unit();
        let routes = 1 + (rng.unit() * 4.0) as u64;
        Self {
            seed,
            senders: 2,
            busy_senders: 2,
            peers: 2,
            limit: Limit::Window { carry_over: 0.0 },
            announced_rate: 6.0 + 18.0 * rng.unit(),
            routes,
            limits_per_route: false,
            outage: outage(rng.unit()),
            affected_routes: 0..routes,
            outage_start,
            outage_end,
            load: 0.45 + 0.5 * rng.unit(),
            load_peak: LoadPeak { factor: 1.0, period: 0.0..0.0 },
            gossip_network: None,
            enforcement: LimitEnforcement::CapacityShares,
            max_clock_skew: 0,
            service_time: 60.0 + 240.0 * rng.unit(),
            restart: None,
            added_routes: None,
            duration: outage_end + AFTER_OUTAGE,
        }
    }

    /// Whether a route is in the outage at `now`.
    pub(super) fn is_in_outage(&self, route: u64, now: Millis) -> bool {
        (self.outage_start..self.outage_end).contains(&now) && self.affected_routes.contains(&route)
    }
}
