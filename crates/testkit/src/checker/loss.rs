//! Rule: every accepted message has exactly one final outcome, and has it in time.

use super::messages::{FinalOutcome, LogPosition, Message, ReceivedCall, RecordedOutcome};
use super::ms_to_us;
use super::rule::{Rule, Violation};
use crate::event_log::Rules;

fn violation(what: String, lines: Vec<usize>) -> Violation {
    Violation { rule: Rule::Loss, what, lines }
}

/// The violation by a call for a message that no client submitted.
pub(super) fn unknown_message(call: &ReceivedCall<'_>) -> Violation {
    violation(format!("{} was never submitted", call.message_id), vec![call.at.line])
}

/// Checks that a message is not sent after it was rejected or failed.
pub(super) fn check_call(message: &Message, call: &ReceivedCall<'_>, rules: &Rules) -> Option<Violation> {
    let RecordedOutcome { outcome, at } = message.outcome?;
    if outcome == FinalOutcome::Delivered || call.first_us <= at.time_us + ms_to_us(rules.slack_ms) {
        return None;
    }
    let what = format!("{} is sent after its final outcome, {outcome}", call.message_id);
    Some(violation(what, vec![at.line, call.at.line]))
}

/// Records the first final outcome of a message. A later, different outcome is a violation unless one of the two is a
/// delivery.
pub(super) fn record_outcome(
    message_id: &str,
    message: &mut Message,
    outcome: FinalOutcome,
    at: LogPosition,
) -> Option<Violation> {
    let Some(earlier) = message.outcome else {
        message.outcome = Some(RecordedOutcome { outcome, at });
        return None;
    };
    let contradicts = earlier.outcome != outcome
        && earlier.outcome != FinalOutcome::Delivered
        && outcome != FinalOutcome::Delivered;
    contradicts.then(|| {
        let what = format!("{message_id} has two final outcomes, {} and {outcome}", earlier.outcome);
        violation(what, vec![earlier.at.line, at.line])
    })
}

/// Whether a message has no final outcome although the outcome was due before the log ended. `due_us` is `None` while
/// no outcome is due.
pub(super) fn is_lost(message: &Message, due_us: Option<u64>, log_end_us: u64) -> bool {
    message.outcome.is_none() && due_us.is_some_and(|due| log_end_us > due)
}

/// Checks, at the end of the log, that an accepted message got its outcome in time. `due_us` is `None` while no outcome is
/// due.
pub(super) fn check_deadline(
    message_id: &str,
    message: &Message,
    accepted_line: usize,
    due_us: Option<u64>,
    log_end_us: u64,
) -> Option<Violation> {
    let due = due_us?;
    match message.outcome {
        Some(RecordedOutcome { at, .. }) if at.time_us > due => {
            let late_ms = (at.time_us - due) / 1_000;
            let what = format!("{message_id} has its final outcome {late_ms} ms too late");
            Some(violation(what, vec![message.submitted.line, accepted_line, at.line]))
        }
        None if is_lost(message, due_us, log_end_us) => {
            let what = format!("{message_id} was accepted and has no final outcome");
            Some(violation(what, vec![message.submitted.line, accepted_line]))
        }
        _ => None,
    }
}
