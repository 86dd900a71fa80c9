//! What the engine tells of itself: to notes, and to operators.

use super::*;

impl Engine {
    /// What notes tell of this sender.
    pub(super) fn activity(&mut self) -> ActivityReport {
        let listed = if self.activity.is_kept() { self.listed() } else { Vec::new() };
        ActivityReport { demands: self.demands(), listed, ..self.activity.take() }
    }

    pub(super) fn demands(&self) -> Vec<(LimitId, Demand)> {
        let named = |want: Demand| {
            let receiver = match want.route {
                Some(route) => Some(self.outbound.receiver_location(route)?.receiver),
                None => None,
            };
            Some((LimitId::of(want.destination.0, receiver.as_deref()), want))
        };
        self.sender.demands().into_iter().filter_map(named).collect()
    }

    pub(super) fn standing(&self) -> EngineStatus {
        EngineStatus {
            open_requests: self.held.len() + self.backlog.len(),
            registry_entries: self.routes.values().filter(|known| known.gone_at.is_none()).count(),
            out_of_rotation: self.sender.avoided(),
        }
    }
}
