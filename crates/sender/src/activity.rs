//! Collects the activity that the engine reports to the gossip task: results of calls, and numbers of accepted
//! messages.

use std::collections::{BTreeMap, VecDeque};

use rudderspindle_gossip::{CallResult, ReceiverId};
use rudderspindle_policy::interface::Outcome;

use crate::event::{AcceptedMessages, ActivityReport, MAX_CALL_RESULTS, ReceiverResult};

/// The activity since the last report. A log that is not enabled stays empty.
#[derive(Debug)]
pub(crate) struct ActivityLog {
    enabled: bool,
    /// Results of the calls, oldest first; at most [`MAX_CALL_RESULTS`].
    call_results: VecDeque<ReceiverResult>,
    /// Number of accepted messages by index of the tenant.
    accepted_by_tenant: BTreeMap<u16, u32>,
}

impl ActivityLog {
    /// Creates an empty log; one that is not `enabled` collects nothing.
    pub fn new(enabled: bool) -> Self {
        Self { enabled, call_results: VecDeque::new(), accepted_by_tenant: BTreeMap::new() }
    }

    /// Whether activity is collected.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Adds the outcome of a call to `receiver`; `None` if the receiver is unknown. Calls that were not sent or were
    /// cancelled are ignored, because their outcome does not depend on the receiver's health.
    pub fn add_outcome(&mut self, receiver: Option<ReceiverId>, outcome: Outcome) {
        let result = match outcome {
            Outcome::Ok | Outcome::Rejected => CallResult::Answered,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => CallResult::Failed,
            Outcome::Cancelled | Outcome::NotSent | Outcome::NotStarted | Outcome::AttemptsExhausted => {
                return;
            }
        };
        if !self.enabled {
            return;
        }
        let Some(receiver) = receiver else { return };
        self.call_results.push_back(ReceiverResult { receiver, result });
        if self.call_results.len() > MAX_CALL_RESULTS {
            self.call_results.pop_front();
        }
    }

    /// Counts an accepted message of the tenant with this index.
    pub fn add_accepted(&mut self, tenant: usize) {
        if self.enabled {
            let count = self.accepted_by_tenant.entry(u16::try_from(tenant).unwrap_or(u16::MAX)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Moves the collected activity into a report, and leaves the log empty. The report has no demands and no listed
    /// receivers; the caller adds them.
    pub fn take(&mut self) -> ActivityReport {
        let accepted_by_tenant = std::mem::take(&mut self.accepted_by_tenant).into_iter();
        ActivityReport {
            call_results: std::mem::take(&mut self.call_results).into(),
            accepted_messages: accepted_by_tenant
                .map(|(tenant, messages)| AcceptedMessages { tenant, messages })
                .collect(),
            ..ActivityReport::default()
        }
    }
}
