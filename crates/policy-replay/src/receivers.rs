//! Receivers that the simulated host calls. Each one is in a random [`Condition`] for a while.

use std::collections::BTreeMap;

use crate::attempt::AttemptOutcome;
use crate::list::ListEntry;
use crate::random::Random;

/// Ticks per millisecond of a session's clock. Times are whole ticks, so that they are exact.
pub const TICKS_PER_MS: u64 = 4;
const TICKS_PER_SECOND: u64 = 1_000 * TICKS_PER_MS;
/// Maximum time-out of a call, in ms.
const MAX_TIMEOUT: f64 = 30_000.0;

/// How a receiver answers calls.
#[derive(Clone, Copy, Debug)]
enum Condition {
    /// Answers nearly all calls below its limit with success.
    Healthy,
    /// Rejects calls above its limit, and 30% of those below it.
    Limited,
    /// Rejects all calls, 20% of them with a long Retry-After.
    RejectingAll,
    /// Answers no call: the connection fails or is closed, or the call times out.
    Down,
    /// Answers after more than a second, or not at all.
    Slow,
    /// Answers 60% of the calls with an error.
    Failing,
    /// Answers calls at once, but lets 8% of them time out.
    Hanging,
}

/// Conditions that are drawn from; frequent ones are listed several times.
const CONDITIONS: [Condition; 10] = [
    Condition::Healthy,
    Condition::Healthy,
    Condition::Healthy,
    Condition::Healthy,
    Condition::Limited,
    Condition::Limited,
    Condition::RejectingAll,
    Condition::Down,
    Condition::Slow,
    Condition::Failing,
];

/// The result of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// Time from the call to its result, in ticks.
    pub delay_ticks: u64,
    pub outcome: AttemptOutcome,
    /// Retry-After of a rejection, in ms; 0 if there is none.
    pub retry_after: u32,
}

#[derive(Debug)]
struct Receiver {
    condition: Condition,
    /// Time when the condition ends, in ticks.
    condition_ends_at: u64,
    /// Second of the session's clock in which the last call arrived.
    last_call_second: u64,
    /// Number of calls in that second.
    calls_in_second: u64,
}

/// Receivers by the route that leads to each.
#[derive(Debug, Default)]
pub struct Receivers(BTreeMap<u64, Receiver>);

impl Receivers {
    /// Draws a new condition where the last one has ended, often for all routes of a destination at once.
    pub fn advance(&mut self, now: u64, entries: &[ListEntry], steady: bool, random: &mut Random) {
        for entry in entries {
            if self.0.get(&entry.route).is_some_and(|receiver| receiver.condition_ends_at > now) {
                continue;
            }
            let random_condition = random.pick(&CONDITIONS);
            let all_routes = random.per_mille(600);
            let condition = if steady { Condition::Hanging } else { random_condition };
            let condition_ends_at = now + random.between(1_500, 9_000) * TICKS_PER_MS;
            let is_affected = |other: &&ListEntry| {
                other.route == entry.route || all_routes && other.destination == entry.destination
            };
            for other in entries.iter().filter(is_affected) {
                self.0.insert(
                    other.route,
                    Receiver { condition, condition_ends_at, last_call_second: 0, calls_in_second: 0 },
                );
            }
        }
    }

    /// Returns the result of a call by a route; `timeout` is in ms.
    pub fn call(&mut self, now: u64, entry: &ListEntry, timeout: f64, random: &mut Random) -> CallResult {
        let Some(receiver) = self.0.get_mut(&entry.route) else {
            return CallResult {
                delay_ticks: TICKS_PER_MS,
                outcome: AttemptOutcome::NotSent,
                retry_after: 0,
            };
        };
        if receiver.last_call_second != now / TICKS_PER_SECOND {
            receiver.last_call_second = now / TICKS_PER_SECOND;
            receiver.calls_in_second = 0;
        }
        receiver.calls_in_second += 1;
        let above_limit = receiver.calls_in_second as f32 > entry.rate;
        let result = draw_result(receiver.condition, above_limit, random);
        // A call whose response is streamed may have an infinite time-out.
        let timeout_ticks = (timeout.clamp(0.0, MAX_TIMEOUT) * TICKS_PER_MS as f64).ceil() as u64;
        if result.outcome == AttemptOutcome::Timeout || result.delay_ticks > timeout_ticks {
            return CallResult {
                delay_ticks: timeout_ticks.max(1),
                outcome: AttemptOutcome::Timeout,
                retry_after: 0,
            };
        }
        result
    }
}

fn draw_result(condition: Condition, above_limit: bool, random: &mut Random) -> CallResult {
    let short_delay = random.between(2, 40) * TICKS_PER_MS;
    let usual_delay = random.between(20, 450) * TICKS_PER_MS;
    let long_delay = random.between(1_200, 4_500) * TICKS_PER_MS;
    let drawn_retry_after = random.between(100, 1_800) as u32;
    let rejected =
        |retry_after| CallResult { delay_ticks: short_delay, outcome: AttemptOutcome::Rejected, retry_after };
    let call_result = |delay_ticks, outcome| CallResult { delay_ticks, outcome, retry_after: 0 };
    let draw = random.below(1_000);
    match condition {
        Condition::Healthy if above_limit => rejected(if draw < 700 { drawn_retry_after } else { 0 }),
        Condition::Healthy => match draw {
            0..15 => call_result(usual_delay, AttemptOutcome::Error),
            15..25 => call_result(usual_delay, AttemptOutcome::Reset),
            25..35 => call_result(usual_delay, AttemptOutcome::Timeout),
            35..45 => call_result(short_delay, AttemptOutcome::NotSent),
            45..55 => rejected(0),
            _ => call_result(usual_delay, AttemptOutcome::Ok),
        },
        Condition::Limited if above_limit || draw < 300 => {
            rejected(if draw.is_multiple_of(2) { drawn_retry_after } else { 0 })
        }
        Condition::Limited => call_result(usual_delay, AttemptOutcome::Ok),
        Condition::RejectingAll => rejected(if draw < 200 { drawn_retry_after + 1_600 } else { 0 }),
        Condition::Down => match draw {
            0..600 => call_result(short_delay, AttemptOutcome::ConnectFailed),
            600..800 => call_result(short_delay, AttemptOutcome::Reset),
            _ => call_result(usual_delay, AttemptOutcome::Timeout),
        },
        Condition::Slow if draw < 500 => call_result(long_delay, AttemptOutcome::Timeout),
        Condition::Slow => call_result(long_delay, AttemptOutcome::Ok),
        Condition::Hanging if draw < 80 => call_result(short_delay, AttemptOutcome::Timeout),
        Condition::Hanging => call_result(short_delay, AttemptOutcome::Ok),
        Condition::Failing if draw < 600 => call_result(usual_delay, AttemptOutcome::Error),
        Condition::Failing => call_result(usual_delay, AttemptOutcome::Ok),
    }
}
