//! Watches a running test: whether this process keeps up, and whether all messages have their outcomes.

use std::time::{Duration, Instant};

use tokio::time::{sleep, sleep_until};

use crate::checker::{Checker, MAX_LAG_US};
use crate::event_log::{Event, EventLog};

/// How often the lag of this process is measured.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Lag that is recorded, in microseconds.
const RECORDED_LAG_US: u64 = MAX_LAG_US / 2;

/// Records delays of this process until it is cancelled, as they may cause violations that are not the sender's.
pub async fn record_lag(event_log: EventLog) {
    let mut next = Instant::now();
    loop {
        next += LAG_CHECK_INTERVAL;
        sleep_until(next.into()).await;
        let lag_us = next.elapsed().as_micros() as u64;
        if lag_us > RECORDED_LAG_US {
            event_log.record(Event::Lagged { who: "fakes".to_owned(), lag_us });
            next = Instant::now();
        }
    }
}

/// Waits until every accepted message has its final outcome or the deadline has passed; checks once per interval.
pub(crate) async fn wait_for_outcomes(
    event_log: &EventLog,
    deadline: Instant,
    interval: Duration,
) -> Checker {
    // Each line is processed once: repeated checks of the whole log would make the fakes lag.
    let mut checker = Checker::default();
    let mut checked = 0;
    loop {
        for line in event_log.lines_from(checked) {
            checked += 1;
            checker.process(checked, &line);
        }
        if checker.pending() == 0 || Instant::now() > deadline {
            return checker;
        }
        sleep(interval).await;
    }
}
