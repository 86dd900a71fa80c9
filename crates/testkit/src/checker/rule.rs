//! The six rules that a sender must keep, and how a broken one is reported.

use std::fmt;

use serde::Serialize;

/// A rule that every sender must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every accepted message has exactly one final outcome, in time.
    #[serde(rename = "lost")]
    Loss,
    /// No message is executed more often than its class allows or has two attempts in flight.
    #[serde(rename = "doubled")]
    Duplication,
    /// Nothing new is sent to an endpoint that drains or has left the list.
    #[serde(rename = "drains")]
    Draining,
    /// An endpoint that recovers from an outage is not overloaded.
    #[serde(rename = "return")]
    Recovery,
    /// Messages of one ordering key are sent one at a time, in the order of their submission.
    #[serde(rename = "order")]
    Ordering,
    /// Nothing is sent before a Retry-After has passed.
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

/// A violation of a rule, with its proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// What happened, in one sentence.
    pub what: String,
    /// Numbers of the log's lines that prove it, from 1.
    pub lines: Vec<usize>,
}
