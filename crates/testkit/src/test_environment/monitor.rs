//! Monitors a running test: measures the lag of the test process, and waits until all messages have their outcomes.

use std::time::{Duration, Instant};

use tokio::time::{sleep, sleep_until};

use crate::checker::{Checker, MAX_LAG_US};
use crate::event_log::{Event, EventLog};

/// Interval of the measurements of the test process's lag.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Lag above which a measurement is recorded, in microseconds.
const RECORDED_LAG_US: u64 = MAX_LAG_US / 2;

/// Records in the event log when this process lags, until the task is cancelled. The fakes run in this process, and
/// their lag may cause violations that are not a sender's fault.
pub async fn record_lag(event_log: EventLog) {
    let mut next_check = Instant::now();
    loop {
        next_check += LAG_CHECK_INTERVAL;
        sleep_until(next_check.into()).await;
        let lag_us = next_check.elapsed().as_micros() as u64;
        if lag_us > RECORDED_LAG_US {
            event_log.record(Event::Lagged { who: "fakes".to_owned(), lag_us });
            next_check = Instant::now();
        }
    }
}

/// Waits until every accepted message has its final outcome or the deadline has passed, and returns the checker of the lines
/// so far. The log is checked once per interval.
pub(crate) async fn wait_for_outcomes(
    event_log: &EventLog,
    deadline: Instant,
    interval: Duration,
) -> Checker {
    // Each line is processed only once, because repeated checks of the whole log would make the fakes lag.
    let mut checker = Checker::default();
    let mut processed_lines = 0;
    loop {
        for line in event_log.lines_from(processed_lines) {
            processed_lines += 1;
            checker.process(processed_lines, &line);
        }
        if checker.pending() == 0 || Instant::now() > deadline {
            return checker;
        }
        sleep(interval).await;
    }
}
