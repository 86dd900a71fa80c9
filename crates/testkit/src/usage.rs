//! Measures from the event log which share of a receiver's rate limit was used, and how many calls were rejected.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use crate::event_log::{Event, Line};

#[cfg(test)]
mod tests;

/// Length of the fixed window in which a receiver counts calls, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Rates of received calls, including rejected ones, as shares of a rate limit: 1 is a rate equal to the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Share in the whole time span.
    pub mean: f64,
    /// Share in the first second of the time span. [`Usage::worst`] and [`Usage::worst_sliding`] exclude that second.
    pub first: f64,
    /// Highest share in one of the receiver's fixed windows of a second that begin after the first second.
    pub worst: f64,
    /// Highest share in any period of a second that begins after the first second.
    pub worst_sliding: f64,
    /// Rejected calls per delivered call.
    pub rejected: f64,
}

impl Usage {
    /// Measures a time span of the log, in microseconds, against a rate limit in calls per second.
    pub fn of(lines: &[Line], span: Range<u64>, per_s: f64) -> Self {
        let (mut calls, mut rejected, mut delivered) = (Vec::new(), 0u64, 0u64);
        for line in lines.iter().filter(|line| span.contains(&line.t)) {
            match line.event {
                Event::CallReceived { .. } => calls.push(line.t),
                Event::CallAnswered { status: 429 | 503, .. } => rejected += 1,
                Event::CallAnswered { status: 200, .. } => delivered += 1,
                _ => {}
            }
        }
        let (mut calls_by_second, mut last_second, mut max_calls_in_sliding_second) =
            (BTreeMap::<u64, usize>::new(), VecDeque::new(), 0);
        let first_second_end_us = span.start + SECOND_US;
        let first_second_call_count = calls.iter().filter(|t| **t < first_second_end_us).count();
        for &t in &calls[first_second_call_count..] {
            let second = t / SECOND_US;
            if second * SECOND_US >= first_second_end_us {
                *calls_by_second.entry(second).or_default() += 1;
            }
            last_second.push_back(t);
            while last_second.front().is_some_and(|oldest| oldest + SECOND_US <= t) {
                last_second.pop_front();
            }
            max_calls_in_sliding_second = max_calls_in_sliding_second.max(last_second.len());
        }
        let share = |calls: usize, seconds: f64| calls as f64 / (per_s * seconds);
        Self {
            mean: share(calls.len(), span.end.saturating_sub(span.start).max(1) as f64 / SECOND_US as f64),
            first: share(first_second_call_count, 1.0),
            worst: share(calls_by_second.into_values().max().unwrap_or(0), 1.0),
            worst_sliding: share(max_calls_in_sliding_second, 1.0),
            rejected: rejected as f64 / delivered.max(1) as f64,
        }
    }
}
