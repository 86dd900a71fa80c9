//! Simulates a receiver with a limit and an outage, and the fleet of senders that calls it.

mod draw;
mod network;
mod open_messages;
mod play;
mod receiver;
mod scene;
mod seen;
mod sender;
mod settings;

use rudderspindle_policy::interface::{Event, Millis, OutageState, RouteEntry};

pub use draw::Draw;
pub use play::play;
pub use scene::{Bound, Limit, Notes, Outage, Scene};
pub use seen::{Knows, Push, Seen};
pub use settings::settings_of;

use crate::parts::{entry, list};

/// A tick of the simulation, ms.
pub const TICK: Millis = 5.0;

/// How long the receiver's recovery ramp lasts after its return, ms.
const RECOVERY_DURATION: Millis = 9_300.0;
/// The part of its limit that the receiver takes at the start of the ramp.
const RECOVERY_START_SHARE: f64 = 0.17;
/// How many times what it can take a recovering receiver bears before it fails again.
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Over how long an overload is counted, ms.
const OVERLOAD_DURATION: Millis = 3_000.0;

/// The maximum number of calls that senders of [`Bound::Strict`] start within any `span` ms.
///
/// `limit` is in calls a second; `clock_skew` is the largest difference between two senders' clocks, ms.
pub fn max_calls_by_permits(limit: f64, span: Millis, clock_skew: u64) -> f64 {
    /// The part of a limit that is given out as permits.
    const ALLOCATED_FRACTION: f64 = 0.95;
    /// How long a permit is valid, ms.
    const PERMIT_VALIDITY: Millis = 100.0;
    let covered = span + PERMIT_VALIDITY + 2.0 * clock_skew as f64 + TICK;
    ALLOCATED_FRACTION * limit * covered / 1_000.0 + 1.0
}

/// The number of calls that a receiver with a limit of `rate` calls a second takes during its recovery ramp.
pub fn while_warming(rate: f64) -> f64 {
    rate * RECOVERY_DURATION / 1_000.0 * (RECOVERY_START_SHARE + 1.0) / 2.0
}

/// The state of an outage as it is `elapsed` ms after it was remembered.
pub fn aged(outage: OutageState, elapsed: Millis) -> OutageState {
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

/// The part of its limit that the receiver takes so long after its return, ms.
fn recovered_share(since_return: Millis) -> f64 {
    (RECOVERY_START_SHARE + (1.0 - RECOVERY_START_SHARE) * since_return / RECOVERY_DURATION).min(1.0)
}

/// The event of the endpoint list with so many of the receiver's routes.
fn list_event(scene: &Scene, routes: u64) -> Event {
    let kind = u16::from(scene.apart);
    let route_entry =
        |route: u64| RouteEntry { rate: scene.told, ..entry(route + 1, 0, kind, (route % 2) as u8) };
    list((0..routes).map(route_entry).collect())
}
