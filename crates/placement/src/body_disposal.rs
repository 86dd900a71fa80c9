//! Disposal of stored bodies of tenants whose zones no longer include this sender's zone.
//!
//! Invariant: such a body is erased within `erase_within_ms` after the rule that excludes the zone was received, and a message
//! that may have been executed is never returned to its client, which could send it again in another zone.

use rudderspindle_clock::UnixMillis;

use crate::fleet_key::TenantId;
use crate::placement::Placement;

/// The execution state of a message at its receivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionState {
    /// No call was started, or all started calls are known not to have been executed.
    NeverExecuted,
    /// No call is in flight, and an earlier call may have been executed.
    PossiblyExecuted,
    /// A call is in flight.
    InFlight,
    /// The message is completed, and its body is still stored.
    Completed,
}

/// What the caller must do with a stored body, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyDisposal {
    /// Keep the body, because no rule excludes this sender's zone.
    Keep,
    /// Return the message to its client as deferred, and erase the body.
    ReturnToClient {
        /// When the body must be erased at the latest.
        erase_deadline: UnixMillis,
    },
    /// Start no further calls, wait until the call in flight ends, and then call [`Placement::body_disposal`] again with the
    /// new execution state.
    AwaitCallEnd {
        /// When the call must have ended at the latest.
        call_deadline: UnixMillis,
    },
    /// Complete the message with the result that its class sets for messages that may have been executed, and erase the body.
    CompleteByClass {
        /// When the body must be erased at the latest.
        erase_deadline: UnixMillis,
    },
    /// Rewrite the message's journal records without the body.
    Erase {
        /// When the body must be erased at the latest.
        erase_deadline: UnixMillis,
    },
}

impl Placement {
    /// What must be done with a stored body of this tenant.
    ///
    /// Must be called again after each [`Placement::reload`], [`Placement::receive`] and [`Placement::poll_datagrams`], because
    /// these may change the tenant's zones, and whenever a call ends. A body is kept if only this sender's lease has expired.
    pub fn body_disposal(&self, tenant: TenantId, state: ExecutionState) -> BodyDisposal {
        let Some(&excluded_since) = self.excluded_since.get(&tenant) else { return BodyDisposal::Keep };
        let erase_deadline = excluded_since.saturating_add(self.settings.erase_within_ms);
        match state {
            ExecutionState::NeverExecuted => BodyDisposal::ReturnToClient { erase_deadline },
            ExecutionState::PossiblyExecuted => BodyDisposal::CompleteByClass { erase_deadline },
            ExecutionState::InFlight => BodyDisposal::AwaitCallEnd {
                call_deadline: excluded_since.saturating_add(self.settings.max_call_ms),
            },
            ExecutionState::Completed => BodyDisposal::Erase { erase_deadline },
        }
    }
}
