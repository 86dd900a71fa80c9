//! The settings of a scenario's senders, and the value of its messages.

use rudderspindle_policy::interface::{Class, Effect, KeyGroup, Millis, Settings};

use super::{OVERLOAD_DURATION, OVERLOAD_MULTIPLE, RECOVERY_DURATION, RECOVERY_START_SHARE, Scenario, TICK};
use crate::fixtures::{class, settings};

/// Number of message classes: one with an idempotency key and one that is idempotent.
pub(super) const CLASSES: usize = 2;
/// Time from a message's submission to its deadline, ms.
pub(super) const DEADLINE: Millis = 12_000.0;

/// Value of a message that is delivered in time, by class.
const VALUE: [f64; CLASSES] = [1.0, 3.0];
/// Latency objective, by class, ms.
const LATENCY_OBJECTIVE: [Millis; CLASSES] = [4_000.0, 2_000.0];
/// Value of a message at its deadline, as a fraction of its full value.
const LATE_VALUE: f64 = 0.3;
/// How long an idempotency key is valid, ms.
const KEY_WINDOW: Millis = 15_000.0;

/// The settings of each sender of a scenario.
pub fn sender_settings(scenario: &Scenario) -> Settings {
    let keyed = Effect::IdempotencyKey { group: KeyGroup::Zone, window: KEY_WINDOW };
    Settings {
        peers_total: scenario.peers,
        slots: 64,
        max_pending: 800,
        max_attempts: 12,
        recovery_start_share: RECOVERY_START_SHARE,
        recovery_duration: RECOVERY_DURATION,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION,
        tick: TICK,
        ..settings(vec![message_class(0, keyed), message_class(1, Effect::Idempotent)])
    }
}

fn message_class(index: usize, effect: Effect) -> Class {
    Class {
        latency_objective: LATENCY_OBJECTIVE[index],
        deadline: DEADLINE,
        value: VALUE[index],
        late_value: LATE_VALUE,
        ..class(effect)
    }
}

/// The value of a message of this class when it is submitted.
pub(super) fn full_value(class: usize) -> f64 {
    VALUE[class]
}

/// The value of a message of this class that is delivered with this latency, ms.
pub(super) fn delivered_value(class: usize, latency: Millis) -> f64 {
    let late = ((latency - LATENCY_OBJECTIVE[class]) / (DEADLINE - LATENCY_OBJECTIVE[class])).clamp(0.0, 1.0);
    VALUE[class] * (1.0 - late * (1.0 - LATE_VALUE))
}
