//! Simulates a receiver with a limit and an outage, and the fleet of senders that calls it.

mod clock;
mod gossip_network;
mod observations;
mod open_messages;
mod recovery_load;
mod scenario;
mod settings;
mod simulated_receiver;
mod simulated_sender;
mod simulation;

use rudderspindle_policy::interface::{Event, Millis, OutageState, RouteEntry};

pub use observations::Observations;
pub use recovery_load::{OutageKnowledge, RecoveryLoad};
pub use scenario::{
    AddedRoutes, GossipNetwork, Limit, LimitEnforcement, LoadPeak, Outage, Restart, Scenario,
};
pub use settings::sender_settings;
pub use simulation::simulate;

use crate::fixtures::{entry, list};

/// A tick of the simulation, ms.
pub const TICK: Millis = 5.0;

/// Length of the receiver's recovery ramp after an outage, ms.
const RECOVERY_DURATION: Millis = 9_300.0;
/// The receiver's capacity at the start of the ramp, as a fraction of its limit.
const RECOVERY_START_SHARE: f64 = 0.17;
/// The load during a recovery, as a multiple of the receiver's capacity, above which the receiver fails again.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Length of the window in which the load during a recovery is counted, ms.
const OVERLOAD_DURATION: Millis = 3_000.0;

/// The maximum number of calls that senders of [`LimitEnforcement::Permits`] start within any `span` ms.
///
/// `limit` is in calls a second; `clock_skew` is the largest difference between two senders' clocks, ms.
pub fn max_calls_by_permits(limit: f64, span: Millis, clock_skew: u64) -> f64 {
    /// The fraction of a limit that is issued as permits.
    const ISSUED_FRACTION: f64 = 0.95;
    /// How long a permit is valid, ms.
    const PERMIT_VALIDITY: Millis = 100.0;
    let covered = span + PERMIT_VALIDITY + 2.0 * clock_skew as f64 + TICK;
    ISSUED_FRACTION * limit * covered / 1_000.0 + 1.0
}

/// The number of calls that a receiver with a limit of `rate` calls a second accepts during its recovery ramp.
pub fn recovery_ramp_capacity(rate: f64) -> f64 {
    rate * RECOVERY_DURATION / 1_000.0 * (RECOVERY_START_SHARE + 1.0) / 2.0
}

/// A remembered outage state `elapsed` ms later.
pub fn age_outage_state(outage: OutageState, elapsed: Millis) -> OutageState {
    match outage {
        OutageState::Healthy => OutageState::Healthy,
        OutageState::Down { retry_after_remaining } => {
            OutageState::Down { retry_after_remaining: (retry_after_remaining - elapsed).max(0.0) }
        }
        OutageState::WarmingUp { since_recovery, ramp_share } => {
            OutageState::WarmingUp { since_recovery: since_recovery + elapsed, ramp_share }
        }
    }
}

/// The receiver's capacity `since_recovery` ms after the outage's end, as a fraction of its limit.
fn recovered_share(since_recovery: Millis) -> f64 {
    (RECOVERY_START_SHARE + (1.0 - RECOVERY_START_SHARE) * since_recovery / RECOVERY_DURATION).min(1.0)
}

/// The event of an endpoint list with this number of routes.
fn list_event(scenario: &Scenario, routes: u64) -> Event {
    let kind = u16::from(scenario.limits_per_route);
    let route_entry = |route: u64| RouteEntry {
        rate: scenario.announced_rate,
        ..entry(route + 1, 0, kind, (route % 2) as u8)
    };
    list((0..routes).map(route_entry).collect())
}
