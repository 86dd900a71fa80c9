//! The wake-up that the policy has requested from the host.

use crate::interface::{Action, Millis};

/// Minimum delay of a wake-up, in ms.
const MIN_DELAY: Millis = 1.0;

/// The wake-up that was requested last. Wake-ups that were requested before it are ignored when they fire.
#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    /// When the wake-up fires; `None` if no wake-up is pending.
    due_at: Option<Millis>,
    token: u64,
}

impl WakeTimer {
    /// Handles the event that the wake-up with this token has fired.
    pub fn fired(&mut self, token: u64) {
        if token == self.token {
            self.due_at = None;
        }
    }

    /// Returns a request for a wake-up at `at`, but not within the next tick; `None` if `at` is infinite or
    /// an earlier wake-up is pending.
    pub fn set(&mut self, now: Millis, at: Millis, tick: Millis) -> Option<Action> {
        let fires_earlier = self.due_at.is_some_and(|due_at| due_at > now && due_at <= at);
        if at == f64::INFINITY || fires_earlier {
            return None;
        }
        let delay = (at - now).max(tick).max(MIN_DELAY);
        self.due_at = Some(now + delay);
        self.token += 1;
        Some(Action::Wake { delay, token: self.token })
    }
}
