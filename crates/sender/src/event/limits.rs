//! This sender's shares of the limits that the fleet has in common.

use rudderspindle_policy::interface::{DestinationId, RouteId};

/// A limit on calls: of a destination, or of one receiver where each receiver has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitKey {
    /// The destination.
    pub destination: DestinationId,
    /// The receiver; `None` if the limit is the destination's.
    pub route: Option<RouteId>,
}

/// This sender's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityUpdate {
    /// The limit.
    pub limit: LimitKey,
    /// Calls per second that the limit admits for each call per second of this sender's demand.
    pub calls: f64,
    /// Demand of all senders together, in calls per second.
    pub fleet_demand: f64,
}

/// The permits that this sender holds for a limit.
#[derive(Clone, Debug)]
pub struct PermitUpdate {
    /// The limit.
    pub limit: LimitKey,
    /// The permits; their times are wall clock times, in milliseconds since 1970.
    pub permits: Vec<rudderspindle_gossip::Permit>,
}

/// This sender's share of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// Messages per second; `None` while no other sender's usage is known.
    pub messages_per_s: Option<f64>,
}
