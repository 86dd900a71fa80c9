//! Rule: an endpoint that recovers from an outage is not overloaded by senders that saw the outage.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::messages::LogPosition;
use super::rule::{Rule, Violation};
use super::topology::{LimitScope, Topology};
use super::us;
use super::verdict::Recovery;
use crate::event_log::Rules;

/// Calls beyond the capacity of a warming endpoint that random arrivals may cause.
const OVERLOAD_SLACK: f64 = 3.0;
/// Share of the overloading calls that must come from senders that saw the outage.
const OBSERVER_SHARE: f64 = 2.0 / 3.0;

/// A call or health check that arrived during a recovery.
#[derive(Debug)]
struct Arrival {
    at: LogPosition,
    sender: String,
}

/// A recovery that has begun, and its index among the recoveries.
#[derive(Clone, Copy, Debug)]
struct Begun {
    at_us: u64,
    index: usize,
}

/// The latest outage of a limit.
#[derive(Debug, Default)]
struct OutageHistory {
    /// Endpoints that are in an outage now.
    affected: BTreeSet<String>,
    /// Whether all endpoints of the limit were in an outage at once.
    was_complete: bool,
    recovery: Option<Begun>,
    /// Senders that saw the outage.
    observers: BTreeSet<String>,
    /// Arrivals within the overload window.
    arrivals: VecDeque<Arrival>,
    overloaded: bool,
}

/// State of the rule: outages by limit, and all recoveries.
#[derive(Debug, Default)]
pub(super) struct RecoveryRule {
    outages: HashMap<LimitScope, OutageHistory>,
    recoveries: Vec<Recovery>,
}

impl RecoveryRule {
    /// All recoveries, in the order of the log.
    pub(super) fn into_recoveries(self) -> Vec<Recovery> {
        self.recoveries
    }

    /// Records the begin of an endpoint's outage.
    pub(super) fn begin_outage(&mut self, topology: &Topology, endpoint: &str) {
        let Some(scope) = topology.limit_scope(endpoint) else { return };
        let members = topology.member_count(&scope);
        let outage = self.outages.entry(scope).or_default();
        if outage.affected.is_empty() {
            *outage = OutageHistory::default();
        }
        outage.affected.insert(endpoint.to_owned());
        outage.was_complete |= outage.affected.len() == members;
    }

    /// Records the end of an endpoint's outage; the last end after a complete outage begins a recovery.
    pub(super) fn end_outage(&mut self, topology: &Topology, endpoint: &str, kind: &str, at_us: u64) {
        let Some(scope) = topology.limit_scope(endpoint) else { return };
        let (limit, shared) = match &scope {
            LimitScope::Endpoint(id) => (id.clone(), false),
            LimitScope::Receiver(number) => (format!("receiver {number}"), true),
        };
        let outage = self.outages.entry(scope).or_default();
        outage.affected.remove(endpoint);
        if !outage.affected.is_empty() || !outage.was_complete {
            return;
        }
        outage.recovery = Some(Begun { at_us, index: self.recoveries.len() });
        let kind = kind.to_owned();
        self.recoveries.push(Recovery { limit, shared, kind, at_us, peak_ratio: 0.0, peak_calls: 0 });
    }

    /// Records that a sender saw an endpoint fail.
    pub(super) fn record_failure(&mut self, topology: &Topology, sender: &str, endpoint: &str) {
        let scope = topology.limit_scope(endpoint);
        let outage = scope.and_then(|scope| self.outages.get_mut(&scope));
        if let Some(outage) = outage.filter(|outage| !outage.affected.is_empty()) {
            outage.observers.insert(sender.to_owned());
        }
    }

    /// Removes a sender whose process has exited from the observers.
    pub(super) fn forget(&mut self, sender: &str) {
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
        let Begun { at_us, index } = outage.recovery?;
        if at.time_us > at_us + us(rules.warm_up_ms) {
            return None;
        }
        outage.arrivals.push_back(Arrival { at, sender: sender.to_owned() });
        outage.drop_arrivals_before(at.time_us, us(rules.overload_window_ms));
        let capacity = window_capacity(rules, per_s, at_us, at.time_us);
        let ratio = outage.arrivals.len() as f64 / capacity;
        if let Some(recovery) = self.recoveries.get_mut(index).filter(|recovery| ratio > recovery.peak_ratio)
        {
            recovery.peak_ratio = ratio;
            recovery.peak_calls = outage.arrivals.len();
        }
        outage.check_overload(rules, endpoint, capacity)
    }
}

impl OutageHistory {
    /// Drops the arrivals that have left the window ending now.
    fn drop_arrivals_before(&mut self, now_us: u64, window_us: u64) {
        while self.arrivals.front().is_some_and(|arrival| arrival.at.time_us + window_us < now_us) {
            self.arrivals.pop_front();
        }
    }

    /// Reports an overload once, if mostly senders that saw the outage caused it.
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

/// Calls that a warming endpoint can accept in the window that ends now. The part of the window before the recovery counts
/// with the capacity at the start of the recovery.
fn window_capacity(rules: &Rules, per_s: f64, recovery_us: u64, now_us: u64) -> f64 {
    let window_us = us(rules.overload_window_ms);
    let from_us = recovery_us.max(now_us.saturating_sub(window_us));
    let window_s = window_us as f64 / 1e6;
    let share_at_begin = rules.warm_share(from_us - recovery_us);
    let share_now = rules.warm_share(now_us - recovery_us);
    per_s * window_s * (share_at_begin + share_now) / 2.0
}
