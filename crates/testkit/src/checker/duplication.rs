//! Rule: no message is executed more often than its class allows, and none has two attempts in flight.

use super::messages::{Call, CallState, Message, MessageTable, ReceivedCall};
use super::rule::{Rule, Violation};
use super::topology::Topology;
use super::us;
use crate::event_log::{Effect, KeyGroup};

/// A second call that arrived while the first was in flight: a violation unless the first ends at once.
#[derive(Debug)]
struct Overlap {
    time_us: u64,
    first: u64,
    second: u64,
}

/// State of the rule: overlaps that are not decided yet.
#[derive(Debug, Default)]
pub(super) struct DuplicationRule {
    overlaps: Vec<Overlap>,
}

impl DuplicationRule {
    /// Checks that a call does not repeat a possible execution, and remembers the calls that it overlaps.
    pub(super) fn check_call(
        &mut self,
        topology: &Topology,
        table: &MessageTable,
        message: &Message,
        call: &ReceivedCall<'_>,
    ) -> Option<Violation> {
        for &first in &message.calls {
            if table.call(first).is_some_and(Call::is_in_flight) {
                self.overlaps.push(Overlap { time_us: call.at.time_us, first, second: call.id });
            }
        }
        let executed = table.calls_of(message).find(|earlier| earlier.possibly_executed())?;
        let what = forbidden_repeat(topology, message, executed, call)?;
        Some(Violation { rule: Rule::Duplication, what, lines: vec![executed.line, call.at.line] })
    }

    /// Decides the overlaps that are old enough.
    ///
    /// An endpoint may notice the end of a connection shortly after the first byte of the next call. A response is recorded
    /// before it is written, so that one that is later in the log was written later.
    pub(super) fn settle_overlaps(
        &mut self,
        time_us: u64,
        slack_us: u64,
        table: &MessageTable,
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.overlaps.retain(|overlap| {
            let (Some(first), Some(second)) = (table.call(overlap.first), table.call(overlap.second)) else {
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

/// Describes why a call must not follow a possible execution; `None` if it may.
fn forbidden_repeat(
    topology: &Topology,
    message: &Message,
    executed: &Call,
    call: &ReceivedCall<'_>,
) -> Option<String> {
    let class = topology.class(message.class);
    let (id, endpoint) = (call.message_id, call.endpoint);
    match class.effect {
        Effect::Idempotent => None,
        Effect::AtMostOnce => Some(format!("{id} is sent again after a possible execution")),
        Effect::IdempotencyKey if !topology.share_keys(class.group, &executed.endpoint, endpoint) => {
            Some(format!("{id} was possibly executed at {} and is sent to {endpoint}", executed.endpoint))
        }
        Effect::IdempotencyKey => {
            let forgotten_us = executed.first_us + us(class.window_ms + topology.rules.slack_ms);
            let late_us = call.first_us.checked_sub(forgotten_us).filter(|late| *late > 0)?;
            Some(format!("{id} is sent again {} ms after its key has expired", late_us / 1_000))
        }
    }
}

/// Checks that a rejected message, which its client may submit again elsewhere, is not possibly executed.
pub(super) fn check_rejection(
    topology: &Topology,
    table: &MessageTable,
    message_id: &str,
    line: usize,
) -> Option<Violation> {
    let message = table.message(message_id)?;
    let class = topology.class(message.class);
    let is_repeatable = match class.effect {
        Effect::Idempotent => true,
        Effect::IdempotencyKey => class.group == KeyGroup::All,
        Effect::AtMostOnce => false,
    };
    if is_repeatable {
        return None;
    }
    let executed = table.calls_of(message).find(|call| call.possibly_executed())?;
    let what = format!("{message_id} is rejected after a possible execution");
    Some(Violation { rule: Rule::Duplication, what, lines: vec![executed.line, line] })
}
