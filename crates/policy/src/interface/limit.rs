//! Limits on calls, and the reports of the host about a limit.

use super::{DestinationId, Millis, RouteId};

/// The calls that a limit covers: those to a destination, or by one route where each route has its own limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitScope {
    /// The destination to which the calls are made.
    pub destination: DestinationId,
    /// The route; `None` if the limit covers the whole destination.
    pub route: Option<RouteId>,
}

/// The outage state of a limit's scope, which is persisted and restored after a restart. Without it a
/// restarted sender would send at its full rate to an endpoint that is down or warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// No outage is known.
    Healthy,
    /// The outage continues.
    Down {
        /// Remaining time of the last Retry-After; 0 for none.
        retry_after_remaining: Millis,
    },
    /// The outage has ended, and the recovery ramp limits the calls.
    WarmingUp {
        /// Time since the ramp began; negative if it begins later, at the end of a Retry-After.
        since_recovery: Millis,
        /// This sender's share of the recovery ramp, from 0 to 1.
        ramp_share: f64,
    },
}

/// An outage that was persisted before a restart; times are relative to now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PersistedOutage {
    /// Which calls the outage concerns.
    pub scope: LimitScope,
    /// The state of the outage.
    pub outage: OutageState,
}

/// A Retry-After that another process of this sender has received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAfterUpdate {
    /// Which calls must not start before the Retry-After ends.
    pub scope: LimitScope,
    /// Remaining time of the Retry-After.
    pub remaining: Millis,
}

/// This sender's share of a limit, calculated from the demand of all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityUpdate {
    /// Which calls the limit covers.
    pub scope: LimitScope,
    /// Calls per second for each call of this sender's demand; infinite if the limit is sufficient for the
    /// demand of all senders.
    pub rate_per_demand: f64,
    /// Demand of all senders, in calls, with an estimate for senders that have not reported; 0 if unknown.
    pub fleet_demand: f64,
    /// Time for which the update is valid, from now.
    pub valid_for: Millis,
}

/// The permits of a limit that this sender may use now. They replace all permits reported earlier for that
/// limit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitUpdate {
    /// Which calls the limit covers.
    pub scope: LimitScope,
    /// The permits; each one allows one call.
    pub permits: Vec<Permit>,
}

/// A permit to start one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// Identifies the permit within its limit. A used permit stays used if it is reported again.
    pub number: u64,
    /// Time from now until the permit becomes valid; negative if it is already valid.
    pub from: Millis,
    /// Time from now until the permit expires.
    pub until: Millis,
}
