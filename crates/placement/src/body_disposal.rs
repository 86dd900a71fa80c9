//! Disposal of stored bodies whose tenant's zones no longer include this sender's.
//!
//! Invariant: a body outside its zones is erased within `erase_within_ms` after the excluding rule was received, and a message
//! that may have been executed is never offered to another zone.

use rudderspindle_clock::UnixMillis;

use crate::fleet_key::TenantId;
use crate::placement::Placement;

/// The execution state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionState {
    /// No call was started, or no started call was executed.
    NeverExecuted,
    /// No call is in flight, and an earlier one may have been executed.
    PossiblyExecuted,
    /// A call is in flight.
    InFlight,
    /// The message has its final outcome; its body is still stored.
    Completed,
}

/// What to do with a stored body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyDisposal {
    /// Keep it.
    Keep,
    /// Return the message to its client as deferred, and erase the body.
    ReturnToClient {
        /// The latest time at which this must be done.
        deadline: UnixMillis,
    },
    /// Send nothing further, wait for the outcome of the call, and ask again.
    AwaitOutcome {
        /// The latest time at which this must be done.
        deadline: UnixMillis,
    },
    /// Complete the message according to its class as possibly executed, and erase the body.
    CompleteByClass {
        /// The latest time at which this must be done.
        deadline: UnixMillis,
    },
    /// Rewrite the message's records without the body.
    Erase {
        /// The latest time at which this must be done.
        deadline: UnixMillis,
    },
}

impl Placement {
    /// The disposal of a stored body of this tenant; to be called again after each event and each outcome. An expired lease
    /// causes no disposal.
    pub fn body_disposal(&self, tenant: TenantId, state: ExecutionState) -> BodyDisposal {
        let Some(&excluded_since) = self.excluded_since.get(&tenant) else { return BodyDisposal::Keep };
        let deadline = excluded_since.saturating_add(self.settings.erase_within_ms);
        match state {
            ExecutionState::NeverExecuted => BodyDisposal::ReturnToClient { deadline },
            ExecutionState::PossiblyExecuted => BodyDisposal::CompleteByClass { deadline },
            ExecutionState::InFlight => BodyDisposal::AwaitOutcome {
                deadline: excluded_since.saturating_add(self.settings.max_call_ms),
            },
            ExecutionState::Completed => BodyDisposal::Erase { deadline },
        }
    }
}
