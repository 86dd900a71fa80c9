//! The one wake-up that the host keeps for the policy. No decision.

use crate::interface::{Action, Millis};

/// A wake-up comes no sooner than this, ms.
const MIN_DELAY: Millis = 1.0;

/// The wake-up that is due next; older ones are ignored.
#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    due_at: Option<Millis>,
    token: u64,
}

impl WakeTimer {
    /// The host's timer with this token has fired.
    pub fn fired(&mut self, token: u64) {
        if token == self.token {
            self.due_at = None;
        }
    }

    /// Asks for a wake-up at `at`, no sooner than in a tick; nothing if one comes before.
    pub fn set(&mut self, now: Millis, at: Millis, tick: Millis) -> Option<Action> {
        let fires_before = self.due_at.is_some_and(|due_at| due_at > now && due_at <= at);
        if at == f64::INFINITY || fires_before {
            return None;
        }
        let delay = (at - now).max(tick).max(MIN_DELAY);
        self.due_at = Some(now + delay);
        self.token += 1;
        Some(Action::Wake { delay, token: self.token })
    }
}
