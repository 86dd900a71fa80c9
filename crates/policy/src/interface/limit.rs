//! A limit on calls, and what the host reports about one.

use super::{DestinationId, Millis, RouteId};

/// What a limit on calls covers: a destination, or one route where each route has its own limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitScope {
    /// The destination.
    pub destination: DestinationId,
    /// The route; `None` if the limit covers the whole destination.
    pub route: Option<RouteId>,
}

/// The outage of a limit's scope, as far as it must be known after a restart: without it a sender would send
/// at its full rate to an endpoint that is down or warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// No outage is known.
    Healthy,
    /// In an outage.
    Down {
        /// Remaining time of the announced Retry-After; 0 for none.
        retry_after_remaining: Millis,
    },
    /// Recovered, with calls limited by the recovery ramp.
    WarmingUp {
        /// Time since the recovery; negative while a Retry-After has to pass first.
        since_recovery: Millis,
        /// This sender's share of the recovery ramp, from 0 to 1.
        ramp_share: f64,
    },
}

/// An outage that was recorded before a restart, as of now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RememberedOutage {
    /// What is in the outage.
    pub scope: LimitScope,
    /// Its state.
    pub outage: OutageState,
}

/// A Retry-After that another process of this sender has received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAfterUpdate {
    /// Which calls have to wait.
    pub scope: LimitScope,
    /// Its remaining time.
    pub remaining: Millis,
}

/// This sender's share of a limit, by the demand of all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityUpdate {
    /// The limit.
    pub scope: LimitScope,
    /// Calls per second for each call of this sender's demand; infinite where the limit covers all demand.
    pub calls_per_demand: f64,
    /// Demand of all senders in calls, with an estimate for those that have not reported; 0 if unknown.
    pub total_demand: f64,
    /// How long the update is valid.
    pub valid_for: Millis,
}

/// The permits of a limit that this sender may use, in place of those reported before.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitUpdate {
    /// The limit.
    pub scope: LimitScope,
    /// One permit for each call.
    pub permits: Vec<Permit>,
}

/// A permit to start one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// Identifies it at its limit; a permit that was used stays used when it is reported again.
    pub number: u64,
    /// When it becomes valid, from now; negative if it is valid already.
    pub from: Millis,
    /// When it expires, from now.
    pub until: Millis,
}
