//! How much of a receiver's limit was used in a span of the event log, and how many calls were rejected for that.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use crate::event_log::{Event, Line};

#[cfg(test)]
mod tests;

/// Length of a receiver's count window, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Received calls, including rejected ones, as shares of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Share over the whole span.
    pub mean: f64,
    /// Share over the first second of the span, which is part of no other field except the mean.
    pub first: f64,
    /// Highest share in a whole second of the receiver's count that begins after the first second.
    pub worst: f64,
    /// Highest share in a second that begins anywhere after the first.
    pub worst_sliding: f64,
    /// Rejected calls per delivered call.
    pub rejected: f64,
}

impl Usage {
    /// Measures a span of the log, in microseconds, against a limit in calls per second.
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
        let (mut seconds, mut last, mut sliding) = (BTreeMap::<u64, usize>::new(), VecDeque::new(), 0);
        let rest = span.start + SECOND_US;
        let first = calls.iter().filter(|t| **t < rest).count();
        for &t in &calls[first..] {
            let second = t / SECOND_US;
            if second * SECOND_US >= rest {
                *seconds.entry(second).or_default() += 1;
            }
            last.push_back(t);
            while last.front().is_some_and(|first| first + SECOND_US <= t) {
                last.pop_front();
            }
            sliding = sliding.max(last.len());
        }
        let share = |calls: usize, seconds: f64| calls as f64 / (per_s * seconds);
        Self {
            mean: share(calls.len(), span.end.saturating_sub(span.start).max(1) as f64 / SECOND_US as f64),
            first: share(first, 1.0),
            worst: share(seconds.into_values().max().unwrap_or(0), 1.0),
            worst_sliding: share(sliding, 1.0),
            rejected: rejected as f64 / delivered.max(1) as f64,
        }
    }
}
