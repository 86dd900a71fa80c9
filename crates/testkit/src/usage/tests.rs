//! Test of the measured shares of a rate limit.

use super::Usage;
use crate::event_log::{Event, Line};

/// The first second of the time span counts only in `mean` and in `first`.
#[test]
fn shares_are_measured_in_fixed_and_sliding_seconds() {
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
    // One call before the time span, ten in its first second, four around the start of a fixed second, two in one fixed
    // second, and one after the time span.
    let mut lines: Vec<Line> = [400].into_iter().chain(500..510).map(called).collect();
    lines.extend([1_980, 1_990, 1_995, 2_010, 3_100, 3_200, 4_500].map(called));
    lines.extend([200, 200, 429, 500].map(answered));
    let usage = Usage::of(&lines, 500_000..4_500_000, 10.0);
    assert_eq!((usage.mean, usage.first), (16.0 / 40.0, 1.0));
    assert_eq!((usage.worst, usage.worst_sliding), (0.2, 0.4));
    assert_eq!(usage.rejected, 0.5);
}
