//! The load on a receiver that recovers from an outage.

use std::collections::VecDeque;

use rudderspindle_policy::interface::Millis;

use super::{OVERLOAD_DURATION, OVERLOAD_MULTIPLE, recovered_share};

/// What a sender has observed of an outage when it makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKnowledge {
    /// Its circuit breaker is open: the call is a half-open probe.
    Down,
    /// It is in slow start.
    WarmingUp,
    /// Its calls failed in the outage, but too few for its circuit breaker to open.
    SawFailures,
    /// None of its calls failed.
    Unaware,
}

/// The calls to a recovering receiver within the overload duration of 3 s.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecoveryLoad {
    /// Number of calls by their senders' knowledge, in the order of [`OutageKnowledge`].
    pub calls: [usize; 4],
    /// Number of calls that overloads the receiver in that time, on average.
    pub overload_calls: f64,
}

impl RecoveryLoad {
    /// All calls over [`tolerated_calls`](Self::tolerated_calls).
    pub fn ratio(&self) -> f64 {
        self.calls.iter().sum::<usize>() as f64 / self.tolerated_calls()
    }

    /// Calls of senders that had seen a failure over [`tolerated_calls`](Self::tolerated_calls).
    pub fn informed_ratio(&self) -> f64 {
        self.calls[..3].iter().sum::<usize>() as f64 / self.tolerated_calls()
    }

    /// The number of calls N that overloads the receiver, and 2 √N + 2 for random arrivals.
    pub fn tolerated_calls(&self) -> f64 {
        self.overload_calls + 2.0 * self.overload_calls.sqrt() + 2.0
    }
}

/// A call to a recovering receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RecoveryCall {
    /// When it starts, ms after the outage's end.
    pub since_recovery: Millis,
    /// Its sender's knowledge.
    pub knowledge: OutageKnowledge,
}

/// The calls to a recovering receiver within the last overload duration.
#[derive(Debug, Default)]
pub(super) struct RecoveryWindow(VecDeque<RecoveryCall>);

/// The load in the window that ends with a call.
pub(super) struct WindowLoad {
    /// The calls by their senders' knowledge.
    pub by_knowledge: RecoveryLoad,
    /// Number of calls over the receiver's capacity.
    pub capacity_ratio: f64,
}

impl RecoveryWindow {
    /// Adds a call; returns the load with it. `rate` is the receiver's limit, calls a second.
    pub fn add(&mut self, call: RecoveryCall, rate: f64) -> WindowLoad {
        self.0.push_back(call);
        let now = call.since_recovery;
        while self.0.front().is_some_and(|first| first.since_recovery + OVERLOAD_DURATION < now) {
            self.0.pop_front();
        }
        let capacity = recovery_capacity(rate, now);
        let mut by_knowledge = RecoveryLoad { calls: [0; 4], overload_calls: OVERLOAD_MULTIPLE * capacity };
        for call in &self.0 {
            by_knowledge.calls[call.knowledge as usize] += 1;
        }
        WindowLoad { by_knowledge, capacity_ratio: self.0.len() as f64 / capacity }
    }
}

/// The number of calls that a recovering receiver accepts in the overload duration before this moment.
fn recovery_capacity(rate: f64, since_recovery: Millis) -> f64 {
    let at_start = recovered_share((since_recovery - OVERLOAD_DURATION).max(0.0));
    rate * OVERLOAD_DURATION / 1_000.0 * (at_start + recovered_share(since_recovery)) / 2.0
}
