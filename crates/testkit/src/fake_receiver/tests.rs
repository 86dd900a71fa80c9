//! Tests of the rate limits, the key memory and the collapse under overload, without sockets.

use std::time::{Duration, Instant};

use super::key_memory::{KEY_LIFETIME, KeyMemory};
use super::limit_state::LimitState;
use super::rate_limiter::{LimitExceeded, RateLimiter};
use crate::event_log::Rules;
use crate::scenario::{Limit, Ms};

fn exceeded(available_in_us: u64) -> Result<(), LimitExceeded> {
    Err(LimitExceeded { available_in_us })
}

#[test]
fn a_window_accepts_its_limit_and_reports_the_time_until_its_end() {
    let window = Limit::Window { window_ms: Ms::try_from(1_000).expect("a window") };
    let mut limiter = RateLimiter::new(window, 3.0, false);
    let results: Vec<_> = (0..4).map(|index| limiter.call(100_000 * index)).collect();
    assert_eq!(results, [Ok(()), Ok(()), Ok(()), exceeded(700_000)]);
    assert_eq!(limiter.call(1_000_000), Ok(()));
    // Rejected calls that are counted use up the limit of their own window, but not that of a later one.
    let mut limiter = RateLimiter::new(window, 1.0, true);
    let results = [limiter.call(0), limiter.call(1), limiter.call(2)];
    assert_eq!(results, [Ok(()), exceeded(999_999), exceeded(999_998)]);
    assert_eq!(limiter.call(1_000_000), Ok(()));
}

#[test]
fn a_token_bucket_accepts_a_burst_and_then_its_rate() {
    let mut limiter = RateLimiter::new(Limit::Rate, 4.0, false);
    assert_eq!([limiter.call(0), limiter.call(0)], [Ok(()), Ok(())]);
    assert_eq!(limiter.call(0), exceeded(250_000));
    assert_eq!(limiter.call(250_000), Ok(()));
    assert_eq!(limiter.call(260_000), exceeded(240_000));
}

#[test]
fn a_key_is_remembered_for_its_lifetime() {
    let (mut keys, now) = (KeyMemory::default(), Instant::now());
    assert!(keys.insert("k", now));
    assert!(!keys.insert("k", now + KEY_LIFETIME - Duration::from_millis(1)));
    assert!(keys.insert("k", now + KEY_LIFETIME));
}

#[test]
fn a_warming_endpoint_collapses_only_under_overload() {
    let rules = Rules::default();
    let collapses = |interval_us: u64| {
        let limiter = RateLimiter::new(Limit::Rate, 10.0, false);
        let mut limit = LimitState::new(limiter, 10.0, 1);
        limit.begin_warm_up(0);
        let arrivals = (1..).map(|number| number * interval_us).take_while(|now_us| *now_us < 9_000_000);
        for now_us in arrivals {
            limit.record_arrival(&rules, now_us);
        }
        limit.has_collapsed()
    };
    // The capacity at the start of the warm-up is 1.7 calls per second; 2.5 times that is 4.25.
    assert!(!collapses(250_000) && collapses(100_000));
}
