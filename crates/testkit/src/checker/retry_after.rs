//! Rule: no call is sent before the Retry-After that its sender received has passed.

use std::collections::HashMap;

use super::messages::{LogPosition, ReceivedCall};
use super::ms_to_us;
use super::rule::{Rule, Violation};
use super::topology::{LimitScope, Topology};

/// A Retry-After that a sender received.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// When the response with the Retry-After was written.
    received: LogPosition,
    /// When the Retry-After has passed, in microseconds on the log's clock.
    until_us: u64,
}

/// State of the rule: the backoffs of each sender for each rate limit.
#[derive(Debug, Default)]
pub(super) struct RetryAfterRule {
    backoffs: HashMap<String, HashMap<LimitScope, Vec<Backoff>>>,
}

impl RetryAfterRule {
    /// Records a Retry-After that reached a sender.
    pub(super) fn record(&mut self, sender: &str, scope: LimitScope, received: LogPosition, wait_ms: u64) {
        let backoff = Backoff { received, until_us: received.time_us + ms_to_us(wait_ms) };
        self.backoffs.entry(sender.to_owned()).or_default().entry(scope).or_default().push(backoff);
    }

    /// Removes the backoffs of a sender whose process has exited, because they do not bind its next process.
    pub(super) fn forget_sender(&mut self, sender: &str) {
        self.backoffs.remove(sender);
    }

    /// Checks that a call does not begin within a backoff, apart from the grace period at the start of the backoff.
    pub(super) fn check_call(&mut self, topology: &Topology, call: &ReceivedCall<'_>) -> Option<Violation> {
        let ReceivedCall { sender, endpoint, message_id, first_us, .. } = *call;
        let scope = topology.limit_scope(endpoint)?;
        let backoffs = self.backoffs.get_mut(sender)?.get_mut(&scope)?;
        backoffs.retain(|backoff| backoff.until_us > first_us);
        let grace_us = ms_to_us(topology.rules.retry_after_grace_ms);
        let backoff = backoffs.iter().find(|backoff| first_us > backoff.received.time_us + grace_us)?;
        let early_ms = (backoff.until_us - first_us) / 1_000;
        let what = format!(
            "{message_id} is sent to {endpoint} {early_ms} ms before {sender}'s Retry-After has passed"
        );
        Some(Violation { rule: Rule::RetryAfter, what, lines: vec![backoff.received.line, call.at.line] })
    }
}
