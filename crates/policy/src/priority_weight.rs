//! What a message is worth as time goes by, as the settings have it. No decision.

use crate::interface::{LateDecay, Millis, Settings};

/// What one message earns, and by when.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PriorityWeight {
    pub class: usize,
    /// Within its aim.
    pub whole: f64,
    pub aim_at: Millis,
    pub ends_at: Millis,
}

impl Settings {
    /// What it earns if it is delivered at `at`.
    pub(crate) fn earns(&self, value: &PriorityWeight, at: Millis) -> f64 {
        let &PriorityWeight { class, whole, aim_at, ends_at } = value;
        if at > ends_at {
            return 0.0;
        }
        if at <= aim_at {
            return whole;
        }
        let (class, late) = (&self.classes[class], at - aim_at);
        whole
            * match self.late_decay {
                LateDecay::Linear => 1.0 - (1.0 - class.late_value) * late / (ends_at - aim_at),
                LateDecay::Halving => 0.5f64.powf(late / class.latency_objective).max(class.late_value),
            }
    }
}
