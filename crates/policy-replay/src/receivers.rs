//! The receivers that the simulated host calls: healthy, limited, in an outage of some kind, or with calls
//! that hang.

use std::collections::BTreeMap;

use crate::attempt::AttemptOutcome;
use crate::list::ListEntry;
use crate::random::Random;

/// Ticks per millisecond of a session's clock, so that its times are exact.
pub const TICKS_PER_MS: u64 = 4;
const TICKS_PER_SECOND: u64 = 1_000 * TICKS_PER_MS;
/// Maximum time for which the host waits for an answer, in ms.
const MAX_TIMEOUT: f64 = 30_000.0;

#[derive(Clone, Copy, Debug)]
enum Condition {
    Healthy,
    Limited,
    RejectingAll,
    Down,
    Slow,
    Failing,
    Hanging,
}

/// The conditions that are drawn from, the frequent ones several times.
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
    /// Time until the result, in ticks.
    pub after: u64,
    pub outcome: AttemptOutcome,
    /// The Retry-After of a rejection, in ms; 0 for none.
    pub retry_after: u32,
}

#[derive(Debug)]
struct Receiver {
    condition: Condition,
    /// End of its condition, in ticks.
    until: u64,
    /// The second of its last call.
    second: u64,
    /// Calls in that second.
    calls: u64,
}

/// The receiver of each route.
#[derive(Debug, Default)]
pub struct Receivers(BTreeMap<u64, Receiver>);

impl Receivers {
    /// Replaces the conditions that have ended, often for all routes of a destination at once.
    pub fn advance(&mut self, now: u64, entries: &[ListEntry], steady: bool, random: &mut Random) {
        for entry in entries {
            if self.0.get(&entry.route).is_some_and(|receiver| receiver.until > now) {
                continue;
            }
            let drawn = random.pick(&CONDITIONS);
            let all_routes = random.per_mille(600);
            let condition = if steady { Condition::Hanging } else { drawn };
            let until = now + random.between(1_500, 9_000) * TICKS_PER_MS;
            let is_affected = |other: &&ListEntry| {
                other.route == entry.route || all_routes && other.destination == entry.destination
            };
            for other in entries.iter().filter(is_affected) {
                self.0.insert(other.route, Receiver { condition, until, second: 0, calls: 0 });
            }
        }
    }

    /// The result of a call to a route with this time-out, in ms.
    pub fn call(&mut self, now: u64, entry: &ListEntry, timeout: f64, random: &mut Random) -> CallResult {
        let Some(receiver) = self.0.get_mut(&entry.route) else {
            return CallResult { after: TICKS_PER_MS, outcome: AttemptOutcome::NotSent, retry_after: 0 };
        };
        if receiver.second != now / TICKS_PER_SECOND {
            receiver.second = now / TICKS_PER_SECOND;
            receiver.calls = 0;
        }
        receiver.calls += 1;
        let above_limit = receiver.calls as f32 > entry.rate;
        let result = draw_result(receiver.condition, above_limit, random);
        // A call whose response is streamed may have no time-out.
        let timeout = (timeout.clamp(0.0, MAX_TIMEOUT) * TICKS_PER_MS as f64).ceil() as u64;
        if result.outcome == AttemptOutcome::Timeout || result.after > timeout {
            return CallResult { after: timeout.max(1), outcome: AttemptOutcome::Timeout, retry_after: 0 };
        }
        result
    }
}

fn draw_result(condition: Condition, above_limit: bool, random: &mut Random) -> CallResult {
    let quick = random.between(2, 40) * TICKS_PER_MS;
    let usual = random.between(20, 450) * TICKS_PER_MS;
    let late = random.between(1_200, 4_500) * TICKS_PER_MS;
    let drawn_retry_after = random.between(100, 1_800) as u32;
    let rejected = |retry_after| CallResult { after: quick, outcome: AttemptOutcome::Rejected, retry_after };
    let ended = |after, outcome| CallResult { after, outcome, retry_after: 0 };
    let draw = random.below(1_000);
    match condition {
        Condition::Healthy if above_limit => rejected(if draw < 700 { drawn_retry_after } else { 0 }),
        Condition::Healthy => match draw {
            0..15 => ended(usual, AttemptOutcome::Error),
            15..25 => ended(usual, AttemptOutcome::Reset),
            25..35 => ended(usual, AttemptOutcome::Timeout),
            35..45 => ended(quick, AttemptOutcome::NotSent),
            45..55 => rejected(0),
            _ => ended(usual, AttemptOutcome::Ok),
        },
        Condition::Limited if above_limit || draw < 300 => {
            rejected(if draw.is_multiple_of(2) { drawn_retry_after } else { 0 })
        }
        Condition::Limited => ended(usual, AttemptOutcome::Ok),
        Condition::RejectingAll => rejected(if draw < 200 { drawn_retry_after + 1_600 } else { 0 }),
        Condition::Down => match draw {
            0..600 => ended(quick, AttemptOutcome::ConnectFailed),
            600..800 => ended(quick, AttemptOutcome::Reset),
            _ => ended(usual, AttemptOutcome::Timeout),
        },
        Condition::Slow if draw < 500 => ended(late, AttemptOutcome::Timeout),
        Condition::Slow => ended(late, AttemptOutcome::Ok),
        Condition::Hanging if draw < 80 => ended(quick, AttemptOutcome::Timeout),
        Condition::Hanging => ended(quick, AttemptOutcome::Ok),
        Condition::Failing if draw < 600 => ended(usual, AttemptOutcome::Error),
        Condition::Failing => ended(usual, AttemptOutcome::Ok),
    }
}
