//! The six rules that a sender must obey, and the report of a violation.

use std::fmt;

use serde::Serialize;

/// A rule that every sender must obey.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every accepted message has exactly one final outcome, and has it in time.
    #[serde(rename = "lost")]
    Loss,
    /// No message is executed more often than its class allows or has two attempts in flight at once.
    #[serde(rename = "doubled")]
    Duplication,
    /// No new call is sent to an endpoint that is draining or was deleted from the endpoint list.
    #[serde(rename = "drains")]
    Draining,
    /// An endpoint that recovers from an outage is not overloaded by senders that saw the outage.
    #[serde(rename = "return")]
    Recovery,
    /// Messages of one ordering key are sent one at a time, in the order of their submission.
    #[serde(rename = "order")]
    Ordering,
    /// No call is sent before the Retry-After that its sender received has passed.
    #[serde(rename = "waits")]
    RetryAfter,
}

impl Rule {
    /// All rules, in the order in which they are reported.
    pub const ALL: [Self; 6] =
        [Self::Loss, Self::Duplication, Self::Draining, Self::Recovery, Self::Ordering, Self::RetryAfter];

    fn description(self) -> &'static str {
        match self {
            Self::Loss => "no accepted message is lost",
            Self::Duplication => "no message is duplicated",
            Self::Draining => "draining endpoints get no new calls",
            Self::Recovery => "recovering endpoints are not overloaded",
            Self::Ordering => "ordering keys are kept in order",
            Self::RetryAfter => "Retry-After is respected",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.description())
    }
}

/// A violation of a rule, with the lines of the log that prove it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// What happened, in one sentence.
    pub what: String,
    /// Numbers of the lines that prove the violation, counted from 1.
    pub lines: Vec<usize>,
}
