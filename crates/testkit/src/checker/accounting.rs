//! Counts the outcomes of the messages in a log.

use serde::Serialize;

use super::messages::{FinalOutcome, Message};

/// Totals of a log. A message that a client submits again counts as another message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Accounting {
    /// Submissions that a client wrote to the last byte.
    #[serde(rename = "handed_in")]
    pub submitted: u64,
    /// Submissions answered with 200 or 202.
    #[serde(rename = "taken_on")]
    pub accepted: u64,
    /// Submissions answered with 429 or 503.
    #[serde(rename = "refused_at_the_door")]
    pub rejected_on_submission: u64,
    /// Submissions answered with another status.
    #[serde(rename = "failed_at_the_door")]
    pub failed_on_submission: u64,
    /// Submissions whose client disconnected before it received a response.
    #[serde(rename = "unheard")]
    pub unanswered: u64,
    /// Accepted messages that were delivered.
    pub delivered: u64,
    /// Accepted messages that the sender rejected later with a `deferred` notification.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Accepted messages that the sender failed later with an `undeliverable` notification.
    pub failed: u64,
    /// Accepted messages without a final outcome, whose outcome was not due when the log ended.
    #[serde(rename = "open")]
    pub pending: u64,
    /// Accepted messages without a final outcome although the outcome was due before the log ended.
    pub lost: u64,
    /// Messages of a class that is not idempotent that were executed more than once.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Delivered messages that met their latency objective.
    pub in_time: u64,
    /// Delivered messages that missed their latency objective.
    pub late: u64,
    /// Calls of which an endpoint received the last byte.
    pub calls: u64,
    /// Calls answered with 429 or 503.
    #[serde(rename = "calls_refused")]
    pub calls_rejected: u64,
}

impl Accounting {
    /// Counts the response to a submission.
    pub(super) fn count_response(&mut self, status: u16) {
        match status {
            200 | 202 => self.accepted += 1,
            429 | 503 => self.rejected_on_submission += 1,
            _ => self.failed_on_submission += 1,
        }
    }

    /// Counts the outcome of an accepted message that is not lost; `target_us` is its latency objective.
    pub(super) fn count_outcome(&mut self, message: &Message, target_us: u64) {
        let Some(recorded) = &message.outcome else {
            self.pending += 1;
            return;
        };
        match recorded.outcome {
            FinalOutcome::Rejected => self.rejected += 1,
            FinalOutcome::Failed => self.failed += 1,
            FinalOutcome::Delivered => {
                self.delivered += 1;
                if recorded.at.time_us <= message.submitted.time_us + target_us {
                    self.in_time += 1;
                } else {
                    self.late += 1;
                }
            }
        }
    }
}
