//! The outage that was last reported to the host, which persists it for the time after a restart.

use super::state::BreakerState;
use crate::interface::{Millis, OutageState};

/// The outage in the last report to the host, with which the current outage is compared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutageReport {
    last: ReportedOutage,
}

/// The fields whose change makes a new report necessary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ReportedOutage {
    #[default]
    Healthy,
    Down {
        since: Millis,
        retry_after_until: Millis,
    },
    WarmingUp {
        since: Millis,
    },
}

impl OutageReport {
    /// The outage to report, if it differs from the last reported one.
    pub fn update(
        &mut self,
        now: Millis,
        state: BreakerState,
        retry_after_until: Millis,
    ) -> Option<OutageState> {
        let (report, outage) = match state {
            BreakerState::Closed => (ReportedOutage::Healthy, OutageState::Healthy),
            BreakerState::Open { since, .. } => (
                ReportedOutage::Down { since, retry_after_until },
                OutageState::Down { retry_after_remaining: (retry_after_until - now).max(0.0) },
            ),
            BreakerState::SlowStart { since, sender_share } => (
                ReportedOutage::WarmingUp { since },
                OutageState::WarmingUp { since_recovery: now - since, ramp_share: sender_share },
            ),
        };
        let last = std::mem::replace(&mut self.last, report);
        (last != report).then_some(outage)
    }
}
