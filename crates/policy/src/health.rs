//! How a route fares, and how all routes of a shared gate fare together: failures, outages, trials, returns.
//!
//! The scope of an outage is that of the limit. Where routes are apart each has a [`Health`] of its own.
//! Where they share a gate there is one more, of all of them: an outage that the gate tells of (a shut wait),
//! or that most of its routes show, is the destination's, so there is one trial and one ramp, whichever route
//! is used. Its state goes before that of a route, which still tells of a single route that fails beside
//! sound ones.

mod believed;

pub(crate) use believed::{Health, State};

use crate::interface::{Millis, OutageState, Outcome};

/// Weight of the newest answer in the share of errors; above the line it is as cold as after an outage.
const ERROR_WEIGHT: f64 = 0.25;
const ERROR_LINE: f64 = 0.45;
/// While it is cold, a share of errors above this one shows that it is not back: two among a few answers.
const ERROR_AGAIN: f64 = 0.3;
/// The share of errors of a route that has erred within its last four answers or so.
const ERRED: f64 = 0.1;

impl Health {
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down { .. })
    }

    pub fn is_cold(&self) -> bool {
        matches!(self.state, State::Cold { .. })
    }

    /// Whether it failed since it was last answered well.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the latest failures in a row are so many.
    pub fn failed_often(&self, run: f64) -> bool {
        f64::from(self.failures) >= run
    }

    /// Whether about half of the answers are errors, or it errs again after such a time.
    pub fn errs(&self) -> bool {
        let line = if self.is_cold() { ERROR_AGAIN } else { ERROR_LINE };
        self.errors > line
    }

    /// Whether something is the matter with it, be it little.
    pub fn ails(&self) -> bool {
        self.failing() || self.errors > ERRED || self.state != State::Up
    }

    /// Whether the outcome of a call sent then tells of what is now believed.
    pub fn concerns(&self, sent_at: Millis) -> bool {
        match self.state {
            State::Up => true,
            State::Down { since, .. } | State::Cold { since, .. } => sent_at >= since,
        }
    }

    /// Whether an answer to a call sent then tells that it is back.
    pub fn proves_return(&self, sent_at: Millis) -> bool {
        matches!(self.state, State::Down { since, silent, .. } if silent || sent_at >= since)
    }

    /// Takes in the outcome of a call, other than a refusal above the limit.
    pub fn note(&mut self, sent_at: Millis, outcome: Outcome) {
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            let error = f64::from(u8::from(outcome == Outcome::Error));
            self.errors += ERROR_WEIGHT * (error - self.errors);
        }
        if outcome == Outcome::Ok {
            self.failures = 0;
            return;
        }
        if self.failures == 0 {
            self.failing_since = sent_at;
        }
        self.failures += 1;
    }

    /// It is down, or still is; the next trial comes at `trial_at`.
    pub fn rest(&mut self, now: Millis, trial_at: Millis, silent: bool) {
        self.state = match self.state {
            State::Down { since, silent, .. } => State::Down { trial_at, since, silent },
            _ => State::Down { trial_at, since: now, silent },
        };
    }

    /// From `since` on slow start bounds what it gets, `part` of it from us; no call goes before `first`.
    pub fn cold(&mut self, since: Millis, part: f64, first: Millis) {
        let first = if self.is_cold() { since } else { since.max(first) };
        (self.state, self.ramp_at) = (State::Cold { since, part }, self.ramp_at.max(first));
    }

    /// Nothing is the matter with it, as far as is known.
    pub fn clear(&mut self) {
        *self = Self { answered_at: self.answered_at, told: self.told, ..Self::default() };
    }

    /// What a sender that begins anew must know, if that is no longer what was told last.
    pub fn news(&mut self, now: Millis, wait_until: Millis) -> Option<OutageState> {
        let (told, outage) = match self.state {
            State::Up => ((0, 0.0, 0.0), OutageState::Healthy),
            State::Down { since, .. } => {
                ((1, since, wait_until), OutageState::Down { wait: (wait_until - now).max(0.0) })
            }
            State::Cold { since, part } => {
                ((2, since, 0.0), OutageState::WarmingUp { ago: now - since, part })
            }
        };
        (std::mem::replace(&mut self.told, told) != told).then_some(outage)
    }
}
