//! The engine's reports: demand and activity for the gossip task, and the status for operators.

use rudderspindle_gossip::LimitId;
use rudderspindle_policy::interface::Demand;

use super::Engine;
use crate::event::{ActivityReport, LimitDemand};
use crate::metrics::EngineStatus;

impl Engine {
    /// The current demand, the activity since the last report and, if activity is collected, the listed receivers.
    pub(super) fn report_activity(&mut self) -> ActivityReport {
        let listed_receivers =
            if self.activity.is_enabled() { self.endpoints.listed_receivers() } else { Vec::new() };
        ActivityReport { demands: self.demands(), listed_receivers, ..self.activity.take() }
    }

    /// This sender's demand for each limit of a destination or receiver. Limits of receivers that are no longer listed
    /// are omitted.
    fn demands(&self) -> Vec<LimitDemand> {
        let limit_demand = |demand: Demand| {
            let receiver = match demand.scope.route {
                Some(route) => Some(self.io.outbound.receiver_location(route)?.receiver),
                None => None,
            };
            let limit = LimitId::of(demand.scope.destination.0, receiver.as_deref());
            Some(LimitDemand { limit, demand })
        };
        self.policy.demands().into_iter().filter_map(limit_demand).collect()
    }

    /// The current status for operators.
    pub(super) fn status(&self) -> EngineStatus {
        EngineStatus {
            open_requests: self.tracked_messages.len() + self.backlog.len(),
            registry_entries: self.endpoints.listed_receiver_count(),
            out_of_rotation: self.policy.routes_out_of_rotation(),
        }
    }
}
