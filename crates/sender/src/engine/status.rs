//! The engine's reports: demand and activity for the gossip, and the status for operators.

use rudderspindle_gossip::LimitId;
use rudderspindle_policy::interface::Demand;

use super::Engine;
use crate::event::{ActivityReport, LimitDemand};
use crate::metrics::EngineStatus;

impl Engine {
    /// The current demand, and the activity since the last report.
    pub(super) fn report_activity(&mut self) -> ActivityReport {
        let listed = if self.activity.is_enabled() { self.endpoints.listed() } else { Vec::new() };
        ActivityReport { demands: self.demands(), listed, ..self.activity.take() }
    }

    /// The demand for each limit, without those of receivers that are no longer listed.
    fn demands(&self) -> Vec<LimitDemand> {
        let named = |demand: Demand| {
            let receiver = match demand.scope.route {
                Some(route) => Some(self.io.outbound.receiver_location(route)?.receiver),
                None => None,
            };
            let limit = LimitId::of(demand.scope.destination.0, receiver.as_deref());
            Some(LimitDemand { limit, demand })
        };
        self.policy.demands().into_iter().filter_map(named).collect()
    }

    /// The current status.
    pub(super) fn status(&self) -> EngineStatus {
        EngineStatus {
            open_requests: self.tracked.len() + self.backlog.len(),
            registry_entries: self.endpoints.listed_count(),
            out_of_rotation: self.policy.routes_out_of_rotation(),
        }
    }
}
