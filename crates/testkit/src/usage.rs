//! How much of a partner's limit was used in a span of the log, and at what cost in refusals.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use crate::event_log::{Event, Line};

/// A second of the log's clock, by which a partner counts.
const SECOND: u64 = 1_000_000;

/// Calls that came, refused ones as well, as shares of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Of the whole span.
    pub mean: f64,
    /// Of the span's first second, which counts in no other but the mean.
    pub first: f64,
    /// Of the worst whole second of the partner's count that begins after the first second.
    pub worst: f64,
    /// Of the worst second wherever it begins after the first.
    pub worst_sliding: f64,
    /// Calls refused for each that was delivered.
    pub refused: f64,
}

impl Usage {
    /// Of a span of the log, microseconds, by a limit in calls a second.
    pub fn of(lines: &[Line], span: Range<u64>, per_s: f64) -> Self {
        let (mut calls, mut refused, mut delivered) = (Vec::new(), 0u64, 0u64);
        for line in lines.iter().filter(|line| span.contains(&line.t)) {
            match line.event {
                Event::CallReceived { .. } => calls.push(line.t),
                Event::CallAnswered { status: 429 | 503, .. } => refused += 1,
                Event::CallAnswered { status: 200, .. } => delivered += 1,
                _ => {}
            }
        }
        let (mut seconds, mut last, mut sliding) = (BTreeMap::<u64, usize>::new(), VecDeque::new(), 0);
        let rest = span.start + SECOND;
        let first = calls.iter().filter(|t| **t < rest).count();
        for &t in &calls[first..] {
            let second = t / SECOND;
            if second * SECOND >= rest {
                *seconds.entry(second).or_default() += 1;
            }
            last.push_back(t);
            while last.front().is_some_and(|first| first + SECOND <= t) {
                last.pop_front();
            }
            sliding = sliding.max(last.len());
        }
        let share = |calls: usize, seconds: f64| calls as f64 / (per_s * seconds);
        Self {
            mean: share(calls.len(), span.end.saturating_sub(span.start).max(1) as f64 / SECOND as f64),
            first: share(first, 1.0),
            worst: share(seconds.into_values().max().unwrap_or(0), 1.0),
            worst_sliding: share(sliding, 1.0),
            refused: refused as f64 / delivered.max(1) as f64,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_count_in_the_partners_seconds_and_in_any_second_but_the_first_one() {
        let called = |ms: u64| Line {
            t: ms * 1_000,
            event: Event::CallReceived {
                call: ms,
                sender: String::new(),
                endpoint: String::new(),
                message_id: String::new(),
                first_us: 0,
            },
        };
        let answered =
            |status| Line { t: 2_500_000, event: Event::CallAnswered { call: 0, status, retry_after_ms: 0 } };
        // Before the span; ten in its first second; four about the turn of a second; two in one; one behind it.
        let mut lines: Vec<Line> = [400].into_iter().chain(500..510).map(called).collect();
        lines.extend([1_980, 1_990, 1_995, 2_010, 3_100, 3_200, 4_500].map(called));
        lines.extend([200, 200, 429, 500].map(answered));
        let usage = Usage::of(&lines, 500_000..4_500_000, 10.0);
        assert_eq!((usage.mean, usage.first), (16.0 / 40.0, 1.0));
        assert_eq!((usage.worst, usage.worst_sliding), (0.2, 0.4));
        assert_eq!(usage.refused, 0.5);
    }
}
