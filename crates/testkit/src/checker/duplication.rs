//! Rule: no message is executed more often than its class allows or has two attempts in flight at once.

use super::messages::{Call, CallState, Message, MessageTable, ReceivedCall};
use super::ms_to_us;
use super::rule::{Rule, Violation};
use super::topology::Topology;
use crate::event_log::{Effect, KeyGroup};

/// Two calls of a message, of which the second arrived while the first was in flight: a violation unless the
/// connection of the first call ends within [`Rules::slack_ms`](crate::event_log::Rules::slack_ms).
#[derive(Debug)]
struct Overlap {
    /// When the second call arrived, in microseconds.
    time_us: u64,
    first_call_id: u64,
    second_call_id: u64,
}

/// State of the rule: overlaps of which it is not yet known whether they are violations.
#[derive(Debug, Default)]
pub(super) struct DuplicationRule {
    overlaps: Vec<Overlap>,
}

impl DuplicationRule {
    /// Checks that a call does not repeat a possible execution that must not be repeated, and records the calls that it
    /// overlaps.
    pub(super) fn check_call(
        &mut self,
        topology: &Topology,
        table: &MessageTable,
        message: &Message,
        call: &ReceivedCall<'_>,
    ) -> Option<Violation> {
        for &first_call_id in &message.call_ids {
            if table.call(first_call_id).is_some_and(Call::is_in_flight) {
                self.overlaps.push(Overlap {
                    time_us: call.at.time_us,
                    first_call_id,
                    second_call_id: call.id,
                });
            }
        }
        let possible_execution = table.calls_of(message).find(|earlier| earlier.possibly_executed())?;
        let what = forbidden_repeat(topology, message, possible_execution, call)?;
        Some(Violation { rule: Rule::Duplication, what, lines: vec![possible_execution.line, call.at.line] })
    }

    /// Decides the overlaps whose first call has ended or that are older than the tolerance, and returns the violations.
    ///
    /// The tolerance applies to aborted calls, because an endpoint may notice the end of a connection shortly after the
    /// first byte of the next call. It does not apply to answered calls: a response is recorded before it is written, so
    /// a response that is recorded after the second call was also written after it.
    pub(super) fn settle_overlaps(
        &mut self,
        time_us: u64,
        slack_us: u64,
        table: &MessageTable,
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.overlaps.retain(|overlap| {
            let (Some(first), Some(second)) =
                (table.call(overlap.first_call_id), table.call(overlap.second_call_id))
            else {
                return true;
            };
            let is_violation = match first.state {
                CallState::InFlight if time_us <= overlap.time_us.saturating_add(slack_us) => return true,
                CallState::Aborted { at_us } => at_us > overlap.time_us + slack_us,
                CallState::InFlight | CallState::Answered(_) => true,
            };
            if is_violation {
                let what = format!("{} has two attempts in flight", first.message_id);
                let lines = vec![first.line, second.line];
                violations.push(Violation { rule: Rule::Duplication, what, lines });
            }
            false
        });
        violations
    }
}

/// Describes why a call must not follow a possible execution; `None` if the call is allowed.
fn forbidden_repeat(
    topology: &Topology,
    message: &Message,
    possible_execution: &Call,
    call: &ReceivedCall<'_>,
) -> Option<String> {
    let class = topology.class(message.class_index);
    let (id, endpoint) = (call.message_id, call.endpoint);
    match class.effect {
        Effect::Idempotent => None,
        Effect::AtMostOnce => Some(format!("{id} is sent again after a possible execution")),
        Effect::IdempotencyKey
            if !topology.share_keys(class.key_group, &possible_execution.endpoint, endpoint) =>
        {
            Some(format!(
                "{id} was possibly executed at {} and is sent to {endpoint}",
                possible_execution.endpoint
            ))
        }
        Effect::IdempotencyKey => {
            let key_expiry_us =
                possible_execution.first_us + ms_to_us(class.key_window_ms + topology.rules.slack_ms);
            let late_us = call.first_us.checked_sub(key_expiry_us).filter(|late| *late > 0)?;
            Some(format!("{id} is sent again {} ms after its key has expired", late_us / 1_000))
        }
    }
}

/// Checks that a rejected message was not possibly executed, because the client may submit it again to another sender.
pub(super) fn check_rejection(
    topology: &Topology,
    table: &MessageTable,
    message_id: &str,
    line: usize,
) -> Option<Violation> {
    let message = table.message(message_id)?;
    let class = topology.class(message.class_index);
    let is_repeatable = match class.effect {
        Effect::Idempotent => true,
        Effect::IdempotencyKey => class.key_group == KeyGroup::All,
        Effect::AtMostOnce => false,
    };
    if is_repeatable {
        return None;
    }
    let possible_execution = table.calls_of(message).find(|call| call.possibly_executed())?;
    let what = format!("{message_id} is rejected after a possible execution");
    Some(Violation { rule: Rule::Duplication, what, lines: vec![possible_execution.line, line] })
}
