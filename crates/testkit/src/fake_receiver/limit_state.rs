//! State that endpoints with one limit share: the rate limiter, outages, and the warm-up after them.

use std::collections::{HashSet, VecDeque};

use super::rate_limiter::{LimitExceeded, RateLimiter};
use crate::event_log::Rules;

/// Calls beyond the limit of the rule before an endpoint collapses: more than the checker allows, so that the rule is
/// broken first.
const OVERLOAD_SLACK: f64 = 6.0;

/// State of the limit when a call arrives.
#[derive(Debug)]
pub(super) struct Admission {
    /// Whether the endpoint has collapsed under load.
    pub(super) collapsed: bool,
    /// Share of its rate that the endpoint accepts.
    pub(super) capacity: f64,
    /// The rate limiter's decision.
    pub(super) decision: Result<(), LimitExceeded>,
}

/// State of a limit: of a receiver, or of one independent endpoint.
#[derive(Debug)]
pub(super) struct LimitState {
    limiter: RateLimiter,
    per_s: f64,
    /// Number of endpoints that share it.
    members: usize,
    /// Endpoints that are in an outage now.
    affected: HashSet<String>,
    /// Whether all endpoints were in an outage at once.
    was_complete: bool,
    /// When the last complete outage ended, in microseconds.
    recovered_us: Option<u64>,
    /// Arrivals in the overload window, while it warms up.
    arrivals: VecDeque<u64>,
    collapsed: bool,
}

impl LimitState {
    pub(super) fn new(limiter: RateLimiter, per_s: f64, members: usize) -> Self {
        Self {
            limiter,
            per_s,
            members,
            affected: HashSet::new(),
            was_complete: false,
            recovered_us: None,
            arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// Whether its endpoints have collapsed under load during a warm-up; they stay down.
    pub(super) fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Counts a call and decides on it.
    pub(super) fn admit(&mut self, rules: &Rules, now_us: u64) -> Admission {
        self.record_arrival(rules, now_us);
        let capacity =
            self.recovered_us.map_or(1.0, |recovered| rules.warm_share(now_us.saturating_sub(recovered)));
        Admission { collapsed: self.collapsed, capacity, decision: self.limiter.call(now_us) }
    }

    /// Counts a call or health check; too many in the window during a warm-up make the endpoints collapse.
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

    /// Begins an endpoint's outage.
    pub(super) fn begin_outage(&mut self, endpoint: &str) {
        self.affected.insert(endpoint.to_owned());
        self.was_complete |= self.affected.len() == self.members;
    }

    /// Ends an endpoint's outage; the last end after a complete outage begins the warm-up.
    pub(super) fn end_outage(&mut self, endpoint: &str, now_us: u64) {
        self.affected.remove(endpoint);
        if self.affected.is_empty() && self.was_complete {
            self.was_complete = false;
            self.begin_warm_up(now_us);
        }
    }

    pub(super) fn begin_warm_up(&mut self, now_us: u64) {
        self.recovered_us = Some(now_us);
        self.arrivals.clear();
    }
}
