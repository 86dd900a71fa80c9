//! The simulated receiver: answers calls by its outage and its limit.

use std::ops::Range;

use rudderspindle_policy::interface::{Millis, Outcome};

use super::draw::Draw;
use super::recovered_share;
use super::scene::{Limit, Outage, Scene};

/// Time after which a call is rejected, or fails at once, ms.
const FAST_FAILURE: Millis = 10.0;
/// Share of the rejections of [`Limit::Span`] with a Retry-After.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// The maximum of [`Limit::Rate`] that is saved up, s of the rate.
const MAX_SAVED: f64 = 0.1;

/// A call to the receiver.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    /// When it starts, ms.
    pub now: Millis,
    /// When its sender gives it up, ms after its start.
    pub timeout: Millis,
    /// Whether its route is in the outage.
    pub in_outage: bool,
}

/// The receiver's answer to a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    /// When the sender knows, ms after the call's start.
    pub after: Millis,
    /// The call's outcome.
    pub outcome: Outcome,
    /// The answer's Retry-After, ms; 0 for none.
    pub retry_after: Millis,
    /// Whether the call was above the limit.
    pub over_limit: bool,
}

impl Answer {
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

/// What is used up of the receiver's limit.
#[derive(Debug, Default)]
pub(super) struct Receiver {
    window: WindowCounter,
    bucket: TokenBucket,
}

impl Receiver {
    /// Answers a call and counts it.
    pub fn answer(&mut self, scene: &Scene, call: Call, rng: &mut Draw) -> Answer {
        if call.in_outage
            && let Some(answer) = answer_in_outage(scene, call, rng)
        {
            return answer;
        }
        match &scene.limit {
            Limit::Span { carried } => {
                if self.window.take(call.now, scene.told, *carried) {
                    return serve(scene, call, rng);
                }
                let left = (second(call.now) + 1) as f64 * 1_000.0 - call.now;
                Answer::over_limit(if rng.unit() < RETRY_AFTER_SHARE { left } else { 0.0 })
            }
            Limit::Rate { halved, wait, owed } => {
                let rate = current_rate(scene.told, halved, call.now);
                if self.bucket.take(call.now, rate, scene.told, *owed) {
                    Answer::new(scene.work, Outcome::Ok)
                } else {
                    Answer::over_limit(*wait)
                }
            }
        }
    }
}

/// The answer of a route in the outage, if the outage affects this call.
fn answer_in_outage(scene: &Scene, call: Call, rng: &mut Draw) -> Option<Answer> {
    match scene.outage {
        Outage::Shut { tells } => {
            let told = rng.unit() < tells;
            Some(Answer::rejected(if told { scene.until - call.now } else { 0.0 }))
        }
        Outage::Refuse => Some(Answer::new(FAST_FAILURE, Outcome::ConnectFailed)),
        Outage::Silent => Some(Answer::new(call.timeout, Outcome::Timeout)),
        Outage::Errors { share } => {
            let fails = rng.unit() < share;
            fails.then(|| Answer::new(FAST_FAILURE, Outcome::Error))
        }
    }
}

/// Works on a call, more slowly during the recovery ramp.
fn serve(scene: &Scene, call: Call, rng: &mut Draw) -> Answer {
    let speed = if call.now >= scene.until { recovered_share(call.now - scene.until) } else { 1.0 };
    let work = (scene.work / 3.0 + rng.exponential(scene.work * 2.0 / 3.0)) / speed;
    if work > call.timeout {
        Answer::new(call.timeout, Outcome::Timeout)
    } else {
        Answer::new(work, Outcome::Ok)
    }
}

/// The second that a time in ms belongs to.
fn second(now: Millis) -> u64 {
    (now / 1_000.0) as u64
}

/// Calls a ms of a rate that is halved for a time.
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
    fn take(&mut self, now: Millis, limit: f64, carried: f64) -> bool {
        let this = second(now);
        if self.second != this {
            let rejected = if self.second + 1 == this { (self.used - limit).max(0.0) } else { 0.0 };
            self.second = this;
            self.used = rejected.min(carried * limit);
        }
        self.used += 1.0;
        self.used <= limit.max(1.0)
    }
}

/// A token bucket that goes below zero with rejected calls.
#[derive(Debug, Default)]
struct TokenBucket {
    /// When `tokens` was worked out, whole ms.
    updated_at: u64,
    tokens: f64,
}

impl TokenBucket {
    /// Takes a token, calls a ms at `rate`; whether there was one.
    fn take(&mut self, now: Millis, rate: f64, per_second: f64, max_debt: Millis) -> bool {
        let available = (self.tokens + rate * (now - self.updated_at as f64)).min(per_second * MAX_SAVED);
        self.updated_at = now as u64;
        self.tokens = (available - 1.0).max(-per_second * max_debt / 1_000.0);
        available >= 1.0
    }
}
