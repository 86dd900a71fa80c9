//! What becomes of a message whose body lies at a sender that is outside its tenant's halls now.
//!
//! Invariant: a body outside is gone `erase_within_ms` after the rule that put it outside was heard, and a message that
//! may have run is never offered to another hall.
use crate::key::TenantId;
use crate::state::Placement;

/// How far the message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Body {
    /// Not begun, or all that was begun is known not to have run.
    NeverRan,
    /// No call is out, and one may have run.
    MayHaveRun,
    /// A call is out.
    CallOut,
    /// It has its end; the body is still at rest here.
    Ended,
}

/// What to do with it. Times are wall time, ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AtRest {
    /// It may be here.
    Keep,
    /// Give it back to its client (`deferred`) by then, and erase it.
    HandBack {
        /// The latest.
        by: u64,
    },
    /// Let the call end, by then at the latest; then ask again. Nothing of it goes out anew.
    AwaitOutcome {
        /// The latest.
        by: u64,
    },
    /// Give it the end that its class has for one that may have run, by then, and erase it.
    EndByClass {
        /// The latest.
        by: u64,
    },
    /// Write its records again without the body, by then.
    Erase {
        /// The latest.
        by: u64,
    },
}

impl Placement {
    /// What to do with a body of this tenant that lies here. Asked again after each change and each outcome; a lease
    /// that has run out erases nothing.
    pub fn erase_by(&self, tenant: TenantId, body: Body) -> AtRest {
        let Some(since) = self.outside_since(tenant) else { return AtRest::Keep };
        let settings = self.settings();
        let by = since.saturating_add(settings.erase_within_ms);
        match body {
            Body::NeverRan => AtRest::HandBack { by },
            Body::MayHaveRun => AtRest::EndByClass { by },
            Body::CallOut => AtRest::AwaitOutcome { by: since.saturating_add(settings.longest_call_ms) },
            Body::Ended => AtRest::Erase { by },
        }
    }
}
