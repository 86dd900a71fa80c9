//! A partner in simulated time and the senders that call it: how hard is it pushed when it comes back?

mod client;
mod draw;
mod limit;
mod play;
mod post;
mod scene;
mod seen;

use rudderspindle_policy::interface::*;

pub use draw::Draw;
pub use play::play;
pub use scene::{Bound, Limit, Notes, Outage, Scene};
pub use seen::{Knows, Push, Seen};

use crate::parts::{class, entry, list, settings};

/// A scene goes on by so much at a time, ms.
pub const TICK: Millis = 5.0;
const RECOVERY_DURATION: Millis = 9_300.0;
const RECOVERY_START_SHARE: f64 = 0.17;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_DURATION: Millis = 3_000.0;
/// What a clip drop and a clip status are worth, when they are wanted, ms, and what is left of their worth at the end.
const VALUE: [f64; 2] = [1.0, 3.0];
const LATENCY_OBJECTIVE: [Millis; 2] = [4_000.0, 2_000.0];
const LATE_VALUE: f64 = 0.3;
/// How long a message may be delivered, ms.
const DEADLINE: Millis = 12_000.0;

/// The most calls that strict senders start within a span of so many ms at a limit of so many a second, where their
/// clocks are so far apart at most.
pub fn most_by_rights(limit: f64, span: Millis, clocks: u64) -> f64 {
    // The part of a limit that is given out as turns, and how long each may be used.
    const GIVEN: f64 = 0.95;
    const VALID: Millis = 100.0;
    GIVEN * limit * (span + VALID + 2.0 * clocks as f64 + TICK) / 1_000.0 + 1.0
}

/// The settings of each sender.
pub fn config(scene: &Scene) -> Settings {
    let keyed = Effect::IdempotencyKey { group: KeyGroup::Zone, window: 15_000.0 };
    let of = |n: usize| {
        let effect = if n == 0 { keyed } else { Effect::Idempotent };
        Class {
            latency_objective: LATENCY_OBJECTIVE[n],
            deadline: DEADLINE,
            value: VALUE[n],
            late_value: LATE_VALUE,
            ..class(effect)
        }
    };
    Settings {
        peers_total: scene.peers,
        slots: 64,
        max_pending: 800,
        max_attempts: 12,
        recovery_start_share: RECOVERY_START_SHARE,
        recovery_duration: RECOVERY_DURATION,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION,
        tick: TICK,
        ..settings(vec![of(0), of(1)])
    }
}

fn listed(scene: &Scene, routes: std::ops::Range<u64>) -> Event {
    let kind = u16::from(scene.apart);
    let of = |r: u64| RouteEntry { rate: scene.told, ..entry(r + 1, 0, kind, (r % 2) as u8) };
    list(routes.map(of).collect())
}

/// The part of its pace that it has so long after its return.
fn warmth(since: Millis) -> f64 {
    (RECOVERY_START_SHARE + (1.0 - RECOVERY_START_SHARE) * since / RECOVERY_DURATION).min(1.0)
}

/// What a partner of so many calls a second could answer while it warms up.
pub fn while_warming(told: f64) -> f64 {
    told * RECOVERY_DURATION / 1_000.0 * (RECOVERY_START_SHARE + 1.0) / 2.0
}

/// What a host tells a sender that begins anew, so much later.
pub fn aged(outage: OutageState, by: Millis) -> OutageState {
    match outage {
        OutageState::Healthy => OutageState::Healthy,
        OutageState::Down { wait } => OutageState::Down { wait: (wait - by).max(0.0) },
        OutageState::WarmingUp { ago, part } => OutageState::WarmingUp { ago: ago + by, part },
    }
}

fn handed_in(id: u32, class: usize, time_left: Millis) -> Message {
    Message {
        id: MessageHandle(id),
        class,
        tenant: 0,
        ordering_key: 0,
        time_left,
        work_guess: None,
        destination: DestinationId(0),
    }
}
