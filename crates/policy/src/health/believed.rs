//! What is seen and believed of a route or a gate: types alone. No decision.

use crate::interface::Millis;

/// What is believed of a route, or of all routes of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum State {
    #[default]
    Up,
    /// Nothing but a trial goes there, from `trial_at` on.
    Down {
        trial_at: Millis,
        /// Since when: what comes of calls sent earlier tells nothing new.
        since: Millis,
        /// Calls were overdue, nothing more: any answer tells that it is back.
        silent: bool,
    },
    /// It came back, or fails so much that it may: the ramp bounds what it gets.
    Cold {
        since: Millis,
        /// The part of the ramp that is ours.
        part: f64,
    },
}

/// Failures and errors as they were seen, and what is believed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub state: State,
    /// When the next call of the ramp may go.
    pub ramp_at: Millis,
    pub failing_since: Millis,
    pub answered_at: Millis,
    pub(super) failures: u32,
    pub(super) errors: f64,
    /// What the host was last told to remember: the kind, since when, and until when a wait lasts.
    pub(super) told: (u8, Millis, Millis),
}
