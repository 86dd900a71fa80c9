//! The one wake-up that a sender has its host keep. No decision.

use crate::interface::{Action, Millis};

/// When the next one is due, and its token; older tokens ring for nobody.
#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    at: Option<Millis>,
    token: u64,
}

impl WakeTimer {
    pub fn rang(&mut self, token: u64) {
        self.at.take_if(|_| token == self.token);
    }

    /// What to ask of the host so that it wakes us then, in a tick at the least; nothing if it does so before.
    pub fn set(&mut self, now: Millis, at: Millis, tick: Millis) -> Option<Action> {
        if at == f64::INFINITY || self.at.is_some_and(|set| set > now && set <= at) {
            return None;
        }
        let delay = (at - now).max(tick).max(1.0);
        self.at = Some(now + delay);
        self.token += 1;
        Some(Action::Wake { delay, token: self.token })
    }
}
