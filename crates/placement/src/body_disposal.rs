//! What to do with a stored body whose tenant's zones no longer include this sender's.
//!
//! Invariant: a body outside its zones is gone `erase_within_ms` after the rule that excluded it was received, and a
//! message that may have been executed is never offered to another zone.
use rudderspindle_clock::UnixMillis;

use crate::fleet_key::TenantId;
use crate::placement::Placement;

/// How far a message's execution has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionState {
    /// No call was begun, or none that was begun has been executed.
    NeverExecuted,
    /// No call is in flight, and one may have been executed.
    PossiblyExecuted,
    /// A call is in flight.
    InFlight,
    /// The message has its final outcome; its body is still stored.
    Completed,
}

/// What to do with a stored body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyDisposal {
    /// It may stay.
    Keep,
    /// Return the message to its client as deferred, and erase the body.
    ReturnToClient {
        /// The latest time.
        deadline: UnixMillis,
    },
    /// Send nothing anew, let the call end, then ask again.
    AwaitOutcome {
        /// The latest time.
        deadline: UnixMillis,
    },
    /// Complete the message as its class says for one that may have been executed, and erase the body.
    CompleteByClass {
        /// The latest time.
        deadline: UnixMillis,
    },
    /// Rewrite the message's records without the body.
    Erase {
        /// The latest time.
        deadline: UnixMillis,
    },
}

impl Placement {
    /// What to do with a body of this tenant that is stored here; to be asked again after each event and each outcome. An
    /// expired lease erases nothing.
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
