//! Rule: no new call is sent to an endpoint that is draining or was deleted from the endpoint list.

use std::collections::HashMap;

use super::messages::{LogPosition, ReceivedCall};
use super::rule::{Rule, Violation};
use super::{SenderEndpoint, ms_to_us};
use crate::event_log::Rules;

/// Phase of an endpoint that accepts new calls.
const SERVING: &str = "SERVING";

/// State of the rule: for each link, when the sender was notified that the endpoint no longer serves.
#[derive(Debug, Default)]
pub(super) struct DrainingRule {
    notified_at: HashMap<SenderEndpoint, LogPosition>,
}

impl DrainingRule {
    /// Records that a phase of an endpoint was announced to a sender.
    pub(super) fn record_phase(&mut self, sender: &str, endpoint: &str, phase: &str, at: LogPosition) {
        let key = SenderEndpoint::new(sender, endpoint);
        if phase == SERVING {
            self.notified_at.remove(&key);
        } else {
            self.notified_at.entry(key).or_insert(at);
        }
    }

    /// Checks that a call began before the sender was notified of the drain, or within the grace period after that.
    pub(super) fn check_call(&self, call: &ReceivedCall<'_>, rules: &Rules) -> Option<Violation> {
        let ReceivedCall { sender, endpoint, message_id, .. } = *call;
        let notified_at = self.notified_at.get(&SenderEndpoint::new(sender, endpoint))?;
        if call.first_us <= notified_at.time_us + ms_to_us(rules.drain_grace_ms + rules.slack_ms) {
            return None;
        }
        let after_ms = (call.first_us - notified_at.time_us) / 1_000;
        let what = format!(
            "{message_id} is sent to {endpoint} {after_ms} ms after {sender} was notified that it is draining"
        );
        Some(Violation { rule: Rule::Draining, what, lines: vec![notified_at.line, call.at.line] })
    }
}
