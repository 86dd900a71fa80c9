//! The value of a message over time, as the settings define it.

use crate::interface::{LateDecay, Millis, Settings};

/// The value of a message over time: the message is worth its full value until `objective_at`, then less, and
/// nothing after `expires_at`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PriorityWeight {
    /// Index of the message's class in the settings.
    pub class: usize,
    /// The value of a delivery within the latency objective.
    pub value: f64,
    /// When the latency objective ends.
    pub objective_at: Millis,
    /// When the message expires; infinity once a response has started to stream.
    pub expires_at: Millis,
}

impl Settings {
    /// The value of a delivery at this time; 0 once the message has expired.
    pub(crate) fn value_at(&self, weight: &PriorityWeight, at: Millis) -> f64 {
        if at > weight.expires_at {
            return 0.0;
        }
        if at <= weight.objective_at {
            return weight.value;
        }
        let class = &self.classes[weight.class];
        let lateness = at - weight.objective_at;
        let remaining_fraction = match self.late_decay {
            LateDecay::Linear => {
                1.0 - (1.0 - class.late_value) * lateness / (weight.expires_at - weight.objective_at)
            }
            LateDecay::Halving => 0.5f64.powf(lateness / class.latency_objective).max(class.late_value),
        };
        weight.value * remaining_fraction
    }
}
