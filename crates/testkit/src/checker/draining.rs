//! Rule: nothing new is sent to an endpoint that drains or has left the list.

use std::collections::HashMap;

use super::messages::{LogPosition, ReceivedCall};
use super::rule::{Rule, Violation};
use super::{SenderEndpoint, us};
use crate::event_log::Rules;

/// Phase of an endpoint that takes new calls.
const SERVING: &str = "SERVING";

/// State of the rule: when each sender was notified that an endpoint does not serve.
#[derive(Debug, Default)]
pub(super) struct DrainingRule {
    learned: HashMap<SenderEndpoint, LogPosition>,
}

impl DrainingRule {
    /// Records a phase of an endpoint that was announced to a sender.
    pub(super) fn record_phase(&mut self, sender: &str, endpoint: &str, phase: &str, at: LogPosition) {
        let key = SenderEndpoint::new(sender, endpoint);
        if phase == SERVING {
            self.learned.remove(&key);
        } else {
            self.learned.entry(key).or_insert(at);
        }
    }

    /// Checks that a call began before its sender was notified of the drain, or within the grace period.
    pub(super) fn check_call(&self, call: &ReceivedCall<'_>, rules: &Rules) -> Option<Violation> {
        let ReceivedCall { sender, endpoint, message_id, .. } = *call;
        let learned = self.learned.get(&SenderEndpoint::new(sender, endpoint))?;
        if call.first_us <= learned.time_us + us(rules.drain_grace_ms + rules.slack_ms) {
            return None;
        }
        let after_ms = (call.first_us - learned.time_us) / 1_000;
        let what = format!(
            "{message_id} is sent to {endpoint} {after_ms} ms after {sender} was notified that it is draining"
        );
        Some(Violation { rule: Rule::Draining, what, lines: vec![learned.line, call.at.line] })
    }
}
