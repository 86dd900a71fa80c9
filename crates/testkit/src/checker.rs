//! Checks from an event log whether the senders obeyed the six rules, and counts the outcomes of their messages.
//!
//! The checker does not depend on the sender's code: its only input is the log that the fakes (of receivers and of the
//! discovery service) and the clients recorded.

mod accounting;
mod draining;
mod duplication;
mod events;
mod loss;
mod messages;
mod ordering;
mod processes;
mod recovery;
mod retry_after;
mod rule;
mod topology;
mod verdict;

use std::collections::BTreeSet;

pub use accounting::Accounting;
use draining::DrainingRule;
use duplication::DuplicationRule;
use messages::{CallState, FinalOutcome, LogPosition, Message, MessageTable, ReceivedCall};
use ordering::OrderingRule;
use processes::Processes;
use recovery::RecoveryRule;
use retry_after::RetryAfterRule;
pub use rule::{Rule, Violation};
use topology::Topology;
pub use verdict::{MAX_LAG_US, Recovery, Verdict};

use crate::event_log::{Effect, Event, Line};

/// Converts milliseconds to microseconds, the unit of the log's clock.
fn ms_to_us(ms: u64) -> u64 {
    ms * 1_000
}

/// The link between a sender and an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SenderEndpoint {
    sender: String,
    endpoint: String,
}

impl SenderEndpoint {
    fn new(sender: &str, endpoint: &str) -> Self {
        Self { sender: sender.to_owned(), endpoint: endpoint.to_owned() }
    }
}

/// Checks a complete log, whose lines are in the order of their times.
///
/// ```
/// use rudderspindle_testkit::checker::check_events;
/// use rudderspindle_testkit::event_log::{Event, Line, Rules, VERSION};
///
/// let header = Event::Header { v: VERSION, classes: vec![], endpoints: vec![], rules: Rules::default() };
/// let verdict = check_events(&[Line { t: 0, event: header }]);
/// assert!(verdict.is_clean());
/// ```
pub fn check_events(lines: &[Line]) -> Verdict {
    let mut checker = Checker::default();
    for (index, line) in lines.iter().enumerate() {
        checker.process(index + 1, line);
    }
    checker.finish(lines.last().map_or(0, |line| line.t))
}

/// Checks a log line by line, also while the log is being written.
#[derive(Debug, Default)]
pub struct Checker {
    topology: Topology,
    table: MessageTable,
    processes: Processes,
    /// Links that currently lose responses.
    lossy_links: BTreeSet<SenderEndpoint>,
    duplication: DuplicationRule,
    draining: DrainingRule,
    recovery: RecoveryRule,
    ordering: OrderingRule,
    retry_after: RetryAfterRule,
    accounting: Accounting,
    violations: Vec<Violation>,
    /// The highest lag of a fake so far, in microseconds.
    max_lag_us: u64,
}

impl Checker {
    /// Processes the line with this number, counted from 1. Lines must be passed in the order of their times.
    pub fn process(&mut self, number: usize, line: &Line) {
        let at = LogPosition { line: number, time_us: line.t };
        self.settle_overlaps(at.time_us);
        match &line.event {
            Event::Header { classes, endpoints, rules, .. } => self.topology.load(classes, endpoints, rules),
            Event::Submitted { .. } => self.submitted(at, &line.event),
            Event::Responded { message_id, status } => self.responded(at, message_id, *status),
            Event::Unanswered { .. } => self.accounting.unanswered += 1,
            Event::CallReceived { call, sender, endpoint, message_id, first_us } => {
                self.call_received(&ReceivedCall {
                    at,
                    id: *call,
                    sender,
                    endpoint,
                    message_id,
                    first_us: *first_us,
                });
            }
            Event::Executed { repeat: true, .. } => {}
            Event::Executed { call, repeat: false } => self.table.count_execution(*call),
            Event::CallAnswered { call, status, retry_after_ms } => {
                self.call_answered(at, *call, *status, *retry_after_ms);
            }
            Event::CallAborted { call } => self.call_aborted(at, *call),
            Event::HealthChecked { sender, endpoint, ok } => self.health_checked(at, sender, endpoint, *ok),
            Event::ConnectionRefused { sender, endpoint } => {
                self.recovery.record_failure(&self.topology, sender, endpoint);
            }
            Event::EndpointChanged { sender, endpoint, phase } => {
                self.draining.record_phase(sender, endpoint, phase, at);
            }
            Event::Notified { message_id, status, acknowledged: true, .. } => {
                self.notified(at, message_id, status);
            }
            Event::Notified { acknowledged: false, .. } => {}
            Event::Outage { endpoint, kind, on } => self.outage_changed(at, endpoint, kind, *on),
            Event::ProcessChanged { sender, state } => self.process_changed(at, sender, *state),
            // No state to change: a silent discovery service announces no list changes, so the log contains none.
            Event::DiscoveryFault { kind, .. } if kind == "silent" => {}
            Event::DiscoveryFault { sender, on, .. } => {
                self.processes.block_notifications(sender, *on, at.time_us);
            }
            Event::LinkFault { sender, endpoint, hides_responses, on, .. } => {
                self.link_changed(sender, endpoint, *hides_responses && *on);
            }
            Event::Lagged { lag_us, .. } => self.max_lag_us = self.max_lag_us.max(*lag_us),
        }
    }

    /// Number of accepted messages without a final outcome so far.
    pub fn pending(&self) -> usize {
        let is_pending = |message: &Message| message.accepted_line.is_some() && message.outcome.is_none();
        self.table.messages().filter(|(_, message)| is_pending(message)).count()
    }

    /// Returns the verdict on a log that ends at this time, in microseconds.
    pub fn finish(mut self, log_end_us: u64) -> Verdict {
        self.settle_overlaps(u64::MAX);
        self.check_outcomes(log_end_us);
        self.violations.sort_by_key(|violation| violation.lines.last().copied());
        Verdict {
            accounting: self.accounting,
            violations: self.violations,
            lag_us: self.max_lag_us,
            recoveries: self.recovery.into_recoveries(),
        }
    }

    fn check_outcomes(&mut self, log_end_us: u64) {
        for (id, message) in self.table.messages() {
            let class = self.topology.class(message.class_index);
            if message.executions > 1 && class.effect != Effect::Idempotent {
                self.accounting.duplicated += 1;
            }
            let Some(accepted_line) = message.accepted_line else { continue };
            let due_us = self.processes.outcome_due(message, &self.topology.rules);
            self.violations.extend(loss::check_deadline(id, message, accepted_line, due_us, log_end_us));
            if loss::is_lost(message, due_us, log_end_us) {
                self.accounting.lost += 1;
            } else {
                self.accounting.count_outcome(message, ms_to_us(class.target_ms));
            }
        }
    }

    /// Adds the violations by overlapping calls that are certain at this time.
    fn settle_overlaps(&mut self, time_us: u64) {
        let slack_us = ms_to_us(self.topology.rules.slack_ms);
        self.violations.extend(self.duplication.settle_overlaps(time_us, slack_us, &self.table));
    }
}
