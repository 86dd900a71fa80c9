//! State that endpoints with a common limit share: the rate limiter, outages, and the warm-up after an outage.

use std::collections::{HashSet, VecDeque};

use super::rate_limiter::{LimitExceeded, RateLimiter};
use crate::event_log::Rules;

/// Number of arrivals above the rule's limit that an endpoint tolerates before it collapses. It is more than the checker
/// allows, so that the checker reports the breach of the rule first.
const OVERLOAD_SLACK: f64 = 6.0;

/// Result of the limit for one call.
#[derive(Debug)]
pub(super) struct Admission {
    /// Whether the endpoint has collapsed under overload.
    pub(super) collapsed: bool,
    /// Share of the full capacity that is available, from 0 to 1: less than 1 during a warm-up.
    pub(super) capacity_share: f64,
    /// The rate limiter's decision.
    pub(super) decision: Result<(), LimitExceeded>,
}

/// State of a limit that applies to a whole receiver or to one independent endpoint.
#[derive(Debug)]
pub(super) struct LimitState {
    limiter: RateLimiter,
    per_s: f64,
    /// Number of endpoints that share the limit.
    endpoint_count: usize,
    /// Ids of the endpoints that are in an outage now.
    in_outage: HashSet<String>,
    /// Whether all endpoints were in an outage at once since the last warm-up began.
    outage_was_complete: bool,
    /// Time at which the last complete outage ended, in microseconds of the event log; `None` before the first one.
    recovered_us: Option<u64>,
    /// Times of the arrivals in the overload window during a warm-up, in microseconds of the event log.
    arrivals: VecDeque<u64>,
    collapsed: bool,
}

impl LimitState {
    pub(super) fn new(limiter: RateLimiter, per_s: f64, endpoint_count: usize) -> Self {
        Self {
            limiter,
            per_s,
            endpoint_count,
            in_outage: HashSet::new(),
            outage_was_complete: false,
            recovered_us: None,
            arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// Whether the endpoints have collapsed under overload during a warm-up. Collapsed endpoints never recover.
    pub(super) fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Counts a call and decides whether it is accepted.
    pub(super) fn admit(&mut self, rules: &Rules, now_us: u64) -> Admission {
        self.record_arrival(rules, now_us);
        let capacity_share =
            self.recovered_us.map_or(1.0, |recovered| rules.warm_share(now_us.saturating_sub(recovered)));
        Admission { collapsed: self.collapsed, capacity_share, decision: self.limiter.call(now_us) }
    }

    /// Counts a call or health check. Too many in the overload window during a warm-up make the endpoints collapse.
    pub(super) fn record_arrival(&mut self, rules: &Rules, now_us: u64) {
        let Some(recovered_us) = self.recovered_us else { return };
        let since_us = now_us.saturating_sub(recovered_us);
        if since_us > rules.warm_up_ms * 1_000 {
            return;
        }
        let window_us = rules.overload_window_ms * 1_000;
        self.arrivals.push_back(now_us);
        while self.arrivals.front().is_some_and(|&arrival| arrival + window_us < now_us) {
            self.arrivals.pop_front();
        }
        let share_at_begin = rules.warm_share(since_us.saturating_sub(window_us));
        let share_now = rules.warm_share(since_us);
        let capacity = self.per_s * window_us as f64 / 1e6 * (share_at_begin + share_now) / 2.0;
        self.collapsed |= self.arrivals.len() as f64 > rules.overload_multiple * capacity + OVERLOAD_SLACK;
    }

    pub(super) fn begin_outage(&mut self, endpoint: &str) {
        self.in_outage.insert(endpoint.to_owned());
        self.outage_was_complete |= self.in_outage.len() == self.endpoint_count;
    }

    /// Ends an endpoint's outage. After an outage of all endpoints, the end of the last one begins the warm-up.
    pub(super) fn end_outage(&mut self, endpoint: &str, now_us: u64) {
        self.in_outage.remove(endpoint);
        if self.in_outage.is_empty() && self.outage_was_complete {
            self.outage_was_complete = false;
            self.begin_warm_up(now_us);
        }
    }

    pub(super) fn begin_warm_up(&mut self, now_us: u64) {
        self.recovered_us = Some(now_us);
        self.arrivals.clear();
    }
}
