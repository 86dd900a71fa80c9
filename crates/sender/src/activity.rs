//! What the engine keeps for notes between two reports: how calls ended, and how many messages were taken on.

use std::collections::{BTreeMap, VecDeque};

use rudderspindle_gossip::{CallResult, Receiver};
use rudderspindle_policy::interface::Outcome;

use crate::event::{ActivityReport, MAX_CALL_RESULTS};

/// Emptied with each report; nothing is kept where no notes tell of it.
#[derive(Debug)]
pub(crate) struct ActivityLog {
    kept: bool,
    seen: VecDeque<(Receiver, CallResult)>,
    taken_on: BTreeMap<u16, u32>,
}

impl ActivityLog {
    pub fn new(kept: bool) -> Self {
        Self { kept, seen: VecDeque::new(), taken_on: BTreeMap::new() }
    }

    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// A call to a receiver ended. One that was never sent, or called off, tells nothing of it.
    pub fn saw(&mut self, receiver: Option<Receiver>, outcome: Outcome) {
        let seen = match outcome {
            Outcome::Ok | Outcome::Rejected => CallResult::Answered,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => CallResult::Failed,
            Outcome::Cancelled | Outcome::NotSent | Outcome::AttemptsExhausted => return,
        };
        if let Some(receiver) = receiver.filter(|_| self.kept) {
            self.seen.push_back((receiver, seen));
            if self.seen.len() > MAX_CALL_RESULTS {
                self.seen.pop_front();
            }
        }
    }

    /// A message of this tenant was taken on; as many tenants as the settings have, and one for those without a name.
    pub fn took(&mut self, tenant: usize) {
        if self.kept {
            let count = self.taken_on.entry(u16::try_from(tenant).unwrap_or(u16::MAX)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// All of it, but for what is wanted.
    pub fn take(&mut self) -> ActivityReport {
        let seen = std::mem::take(&mut self.seen).into();
        ActivityReport {
            seen,
            taken_on: std::mem::take(&mut self.taken_on).into_iter().collect(),
            ..ActivityReport::default()
        }
    }
}
