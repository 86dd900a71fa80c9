//! Rule: an endpoint that recovers from an outage is not overloaded by senders that saw the outage.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::messages::LogPosition;
use super::ms_to_us;
use super::rule::{Rule, Violation};
use super::topology::{LimitScope, Topology};
use super::verdict::Recovery;
use crate::event_log::Rules;

/// Number of calls in the overload window that are tolerated in addition to [`Rules::overload_multiple`] times the
/// capacity, because arrivals are random.
const OVERLOAD_SLACK: f64 = 3.0;
/// An overload is a violation only if at least this share of the calls in the window came from senders that saw the outage.
const OBSERVER_SHARE: f64 = 2.0 / 3.0;

/// A call or health check that arrived during a recovery.
#[derive(Debug)]
struct Arrival {
    at: LogPosition,
    sender: String,
}

/// The current recovery of the endpoints that share a rate limit.
#[derive(Clone, Copy, Debug)]
struct CurrentRecovery {
    /// When the outage ended, in microseconds on the log's clock.
    started_us: u64,
    /// Index in [`RecoveryRule::recoveries`].
    index: usize,
}

/// The latest outage of the endpoints that share a rate limit, and the recovery from that outage.
#[derive(Debug, Default)]
struct LatestOutage {
    /// Endpoints that are in an outage now.
    affected_endpoints: BTreeSet<String>,
    /// Whether all endpoints that share the limit were in an outage at the same time.
    affected_all_endpoints: bool,
    recovery: Option<CurrentRecovery>,
    /// Senders that saw a failure during the outage and have not exited since.
    observers: BTreeSet<String>,
    /// Arrivals within the overload window.
    arrivals: VecDeque<Arrival>,
    /// Whether an overload was detected, which is reported at most once.
    overloaded: bool,
}

/// State of the rule: the latest outage for each rate limit, and all recoveries.
#[derive(Debug, Default)]
pub(super) struct RecoveryRule {
    outages: HashMap<LimitScope, LatestOutage>,
    recoveries: Vec<Recovery>,
}

impl RecoveryRule {
    /// All recoveries, in the order of the log.
    pub(super) fn into_recoveries(self) -> Vec<Recovery> {
        self.recoveries
    }

    /// Records that an outage of an endpoint begins.
    pub(super) fn begin_outage(&mut self, topology: &Topology, endpoint: &str) {
        let Some(scope) = topology.limit_scope(endpoint) else { return };
        let endpoint_count = topology.endpoint_count(&scope);
        let outage = self.outages.entry(scope).or_default();
        if outage.affected_endpoints.is_empty() {
            *outage = LatestOutage::default();
        }
        outage.affected_endpoints.insert(endpoint.to_owned());
        outage.affected_all_endpoints |= outage.affected_endpoints.len() == endpoint_count;
    }

    /// Records that an outage of an endpoint ends. If all endpoints that share the rate limit were in an outage at the
    /// same time, their recovery begins when the last of these outages ends.
    pub(super) fn end_outage(&mut self, topology: &Topology, endpoint: &str, outage_kind: &str, at_us: u64) {
        let Some(scope) = topology.limit_scope(endpoint) else { return };
        let (limit, shared) = match &scope {
            LimitScope::Endpoint(id) => (id.clone(), false),
            LimitScope::Receiver(number) => (format!("receiver {number}"), true),
        };
        let outage = self.outages.entry(scope).or_default();
        outage.affected_endpoints.remove(endpoint);
        if !outage.affected_endpoints.is_empty() || !outage.affected_all_endpoints {
            return;
        }
        outage.recovery = Some(CurrentRecovery { started_us: at_us, index: self.recoveries.len() });
        let kind = outage_kind.to_owned();
        self.recoveries.push(Recovery { limit, shared, kind, at_us, peak_ratio: 0.0, peak_calls: 0 });
    }

    /// Records that a sender saw a failure of an endpoint; ignored unless an endpoint that shares its rate limit is
    /// in an outage.
    pub(super) fn record_failure(&mut self, topology: &Topology, sender: &str, endpoint: &str) {
        let scope = topology.limit_scope(endpoint);
        let outage = scope.and_then(|scope| self.outages.get_mut(&scope));
        if let Some(outage) = outage.filter(|outage| !outage.affected_endpoints.is_empty()) {
            outage.observers.insert(sender.to_owned());
        }
    }

    /// Removes a sender from the observers, because its process has exited.
    pub(super) fn forget_sender(&mut self, sender: &str) {
        for outage in self.outages.values_mut() {
            outage.observers.remove(sender);
        }
    }

    /// Checks that a call or health check does not overload an endpoint that is warming up.
    pub(super) fn check_arrival(
        &mut self,
        topology: &Topology,
        sender: &str,
        endpoint: &str,
        at: LogPosition,
    ) -> Option<Violation> {
        let scope = topology.limit_scope(endpoint)?;
        let per_s = topology.endpoint(endpoint)?.per_s;
        let rules = &topology.rules;
        let outage = self.outages.get_mut(&scope)?;
        let CurrentRecovery { started_us, index } = outage.recovery?;
        if at.time_us > started_us + ms_to_us(rules.warm_up_ms) {
            return None;
        }
        outage.arrivals.push_back(Arrival { at, sender: sender.to_owned() });
        outage.drop_expired_arrivals(at.time_us, ms_to_us(rules.overload_window_ms));
        let capacity = window_capacity(rules, per_s, started_us, at.time_us);
        let ratio = outage.arrivals.len() as f64 / capacity;
        if let Some(recovery) = self.recoveries.get_mut(index).filter(|recovery| ratio > recovery.peak_ratio)
        {
            recovery.peak_ratio = ratio;
            recovery.peak_calls = outage.arrivals.len();
        }
        outage.check_overload(rules, endpoint, capacity)
    }
}

impl LatestOutage {
    /// Removes the arrivals that are older than the window, which ends at `now_us`.
    fn drop_expired_arrivals(&mut self, now_us: u64, window_us: u64) {
        while self.arrivals.front().is_some_and(|arrival| arrival.at.time_us + window_us < now_us) {
            self.arrivals.pop_front();
        }
    }

    /// Reports the first overload, if senders that saw the outage caused at least [`OBSERVER_SHARE`] of it.
    fn check_overload(&mut self, rules: &Rules, endpoint: &str, capacity: f64) -> Option<Violation> {
        let calls = self.arrivals.len();
        if self.overloaded || calls as f64 <= rules.overload_multiple * capacity + OVERLOAD_SLACK {
            return None;
        }
        self.overloaded = true;
        let from_observers =
            self.arrivals.iter().filter(|arrival| self.observers.contains(&arrival.sender)).count();
        if (from_observers as f64) < OBSERVER_SHARE * calls as f64 {
            return None;
        }
        let window_ms = rules.overload_window_ms;
        let what =
            format!("{endpoint} is overloaded: {calls} calls in {window_ms} ms, capacity {capacity:.1}");
        let lines = self.arrivals.iter().map(|arrival| arrival.at.line).collect();
        Some(Violation { rule: Rule::Recovery, what, lines })
    }
}

/// Number of calls that a warming endpoint can accept in the overload window that ends at `now_us`: the mean of its
/// capacities at the start of the window and at its end, over the length of the whole window. If the window starts
/// before the recovery, the capacity at the start of the recovery takes the place of the first of the two.
fn window_capacity(rules: &Rules, per_s: f64, recovery_us: u64, now_us: u64) -> f64 {
    let window_us = ms_to_us(rules.overload_window_ms);
    let window_start_us = recovery_us.max(now_us.saturating_sub(window_us));
    let window_s = window_us as f64 / 1e6;
    let share_at_start = rules.warm_share(window_start_us - recovery_us);
    let share_now = rules.warm_share(now_us - recovery_us);
    per_s * window_s * (share_at_start + share_now) / 2.0
}
