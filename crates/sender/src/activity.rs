//! Collects the activity that the engine reports to the gossip: attempt results and accepted messages.

use std::collections::{BTreeMap, VecDeque};

use rudderspindle_gossip::{CallResult, ReceiverId};
use rudderspindle_policy::interface::Outcome;

use crate::event::{AcceptedMessages, ActivityReport, MAX_CALL_RESULTS, ReceiverResult};

/// The activity since the last report. Stays empty while disabled.
#[derive(Debug)]
pub(crate) struct ActivityLog {
    enabled: bool,
    /// Oldest first; at most [`MAX_CALL_RESULTS`].
    results: VecDeque<ReceiverResult>,
    /// Number of messages by tenant.
    accepted: BTreeMap<u16, u32>,
}

impl ActivityLog {
    /// An empty log.
    pub fn new(enabled: bool) -> Self {
        Self { enabled, results: VecDeque::new(), accepted: BTreeMap::new() }
    }

    /// Whether activity is recorded.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Records an attempt's outcome. Attempts that were not sent or were cancelled are ignored: they do not depend on the
    /// receiver's health.
    pub fn record_outcome(&mut self, receiver: Option<ReceiverId>, outcome: Outcome) {
        let result = match outcome {
            Outcome::Ok | Outcome::Rejected => CallResult::Answered,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => CallResult::Failed,
            Outcome::Cancelled | Outcome::NotSent | Outcome::AttemptsExhausted => return,
        };
        if !self.enabled {
            return;
        }
        let Some(receiver) = receiver else { return };
        self.results.push_back(ReceiverResult { receiver, result });
        if self.results.len() > MAX_CALL_RESULTS {
            self.results.pop_front();
        }
    }

    /// Records that a message of this tenant, by index, was accepted.
    pub fn record_accepted(&mut self, tenant: usize) {
        if self.enabled {
            let count = self.accepted.entry(u16::try_from(tenant).unwrap_or(u16::MAX)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Empties the log into a report without demands and endpoints.
    pub fn take(&mut self) -> ActivityReport {
        let accepted = std::mem::take(&mut self.accepted).into_iter();
        ActivityReport {
            results: std::mem::take(&mut self.results).into(),
            accepted: accepted.map(|(tenant, messages)| AcceptedMessages { tenant, messages }).collect(),
            ..ActivityReport::default()
        }
    }
}
