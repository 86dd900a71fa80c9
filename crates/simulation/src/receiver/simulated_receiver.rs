//! The simulated receiver, which answers calls according to its outage and its limit.

use std::ops::Range;

use rudderspindle_policy::interface::{Millis, Outcome};

use super::recovered_share;
use super::scenario::{Limit, Outage, Scenario};
use crate::SeededRng;

/// Time from the start of a call to its rejection or error, ms.
const FAST_FAILURE: Millis = 10.0;
/// Share of the rejections by [`Limit::Window`] with a Retry-After.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// Capacity of the bucket of [`Limit::TokenBucket`], s of its rate.
const BUCKET_SECONDS: f64 = 0.1;

/// A call to the receiver.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    /// When it starts, ms.
    pub now: Millis,
    /// When its sender abandons it, ms after its start.
    pub timeout: Millis,
    /// Whether its route is in the outage.
    pub in_outage: bool,
}

/// The receiver's response to a call, or its failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    /// When the sender receives it, ms after the call's start.
    pub after: Millis,
    /// The call's outcome.
    pub outcome: Outcome,
    /// Its Retry-After, ms; 0 for none.
    pub retry_after: Millis,
    /// Whether the call was above the limit.
    pub over_limit: bool,
}

impl Response {
    fn new(after: Millis, outcome: Outcome) -> Self {
        Self { after, outcome, retry_after: 0.0, over_limit: false }
    }

    fn rejected(retry_after: Millis) -> Self {
        Self { retry_after, ..Self::new(FAST_FAILURE, Outcome::Rejected) }
    }

    fn over_limit(retry_after: Millis) -> Self {
        Self { over_limit: true, ..Self::rejected(retry_after) }
    }
}

/// The state of the receiver's limit.
#[derive(Debug, Default)]
pub(super) struct SimulatedReceiver {
    window: WindowCounter,
    bucket: TokenBucket,
}

impl SimulatedReceiver {
    /// Answers a call and counts it.
    pub fn answer(&mut self, scenario: &Scenario, call: Call, rng: &mut SeededRng) -> Response {
        if call.in_outage
            && let Some(response) = answer_in_outage(scenario, call, rng)
        {
            return response;
        }
        match &scenario.limit {
            Limit::Window { carry_over } => {
                if self.window.take(call.now, scenario.announced_rate, *carry_over) {
                    return serve(scenario, call, rng);
                }
                let left = (second(call.now) + 1) as f64 * 1_000.0 - call.now;
                Response::over_limit(if rng.unit() < RETRY_AFTER_SHARE { left } else { 0.0 })
            }
            Limit::TokenBucket { halved, retry_after, max_debt } => {
                let rate = current_rate(scenario.announced_rate, halved, call.now);
                if self.bucket.take(call.now, rate, scenario.announced_rate, *max_debt) {
                    Response::new(scenario.service_time, Outcome::Ok)
                } else {
                    Response::over_limit(*retry_after)
                }
            }
        }
    }
}

/// The response of a route in the outage; `None` if the call is served.
fn answer_in_outage(scenario: &Scenario, call: Call, rng: &mut SeededRng) -> Option<Response> {
    match scenario.outage {
        Outage::RejectAll { retry_after_probability } => {
            let has_retry_after = rng.unit() < retry_after_probability;
            let retry_after = if has_retry_after { scenario.outage_end - call.now } else { 0.0 };
            Some(Response::rejected(retry_after))
        }
        Outage::RefuseConnections => Some(Response::new(FAST_FAILURE, Outcome::ConnectFailed)),
        Outage::Unresponsive => Some(Response::new(call.timeout, Outcome::Timeout)),
        Outage::Errors { share } => {
            let fails = rng.unit() < share;
            fails.then(|| Response::new(FAST_FAILURE, Outcome::Error))
        }
    }
}

/// Serves a call, more slowly during the recovery ramp.
fn serve(scenario: &Scenario, call: Call, rng: &mut SeededRng) -> Response {
    let speed =
        if call.now >= scenario.outage_end { recovered_share(call.now - scenario.outage_end) } else { 1.0 };
    let service_time =
        (scenario.service_time / 3.0 + rng.exponential(scenario.service_time * 2.0 / 3.0)) / speed;
    if service_time > call.timeout {
        Response::new(call.timeout, Outcome::Timeout)
    } else {
        Response::new(service_time, Outcome::Ok)
    }
}

/// The whole second of a time in ms.
fn second(now: Millis) -> u64 {
    (now / 1_000.0) as u64
}

/// The rate in calls a ms.
fn current_rate(per_second: f64, halved: &Range<Millis>, now: Millis) -> f64 {
    per_second * if halved.contains(&now) { 0.5 } else { 1.0 } / 1_000.0
}

/// Counts the calls of each second, rejected ones too.
#[derive(Debug, Default)]
struct WindowCounter {
    second: u64,
    used: f64,
}

impl WindowCounter {
    /// Counts a call; whether it is within the limit.
    fn take(&mut self, now: Millis, limit: f64, carry_over: f64) -> bool {
        let current = second(now);
        if self.second != current {
            let rejected = if self.second + 1 == current { (self.used - limit).max(0.0) } else { 0.0 };
            self.second = current;
            self.used = rejected.min(carry_over * limit);
        }
        self.used += 1.0;
        self.used <= limit.max(1.0)
    }
}

/// A token bucket that rejected calls bring below zero.
#[derive(Debug, Default)]
struct TokenBucket {
    /// When `tokens` was computed, whole ms.
    updated_at: u64,
    tokens: f64,
}

impl TokenBucket {
    /// Takes a token; whether there was one. The current rate is in calls a ms.
    fn take(&mut self, now: Millis, rate: f64, per_second: f64, max_debt: Millis) -> bool {
        let available =
            (self.tokens + rate * (now - self.updated_at as f64)).min(per_second * BUCKET_SECONDS);
        self.updated_at = now as u64;
        self.tokens = (available - 1.0).max(-per_second * max_debt / 1_000.0);
        available >= 1.0
    }
}
