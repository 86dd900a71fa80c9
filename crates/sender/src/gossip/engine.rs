//! The queries and inputs with which the gossip task communicates with the engine.

use std::collections::HashMap;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{LimitCapacity, LimitId, LocalDemand, OutgoingDatagram};
use rudderspindle_policy::interface::{CapacityUpdate, Millis};
use tokio::sync::{mpsc, oneshot};

use super::{GossipTask, ReportedLimit};
use crate::event::{ActivityReport, Input, LimitDemand, PermitUpdate};

/// How long a capacity update is valid, in milliseconds.
const CAPACITY_VALIDITY: Millis = 1_000.0;

/// The engine has stopped, so the gossip task ends.
#[derive(Debug, thiserror::Error)]
#[error("the engine has stopped")]
pub(super) struct EngineClosed;

impl GossipTask {
    /// Queries the engine's activity, records it in the shared view, and sends the resulting inputs to the engine.
    /// Returns the demands in the activity.
    async fn query_demands(
        &mut self,
        engine: &mpsc::Sender<Input>,
    ) -> Result<Vec<LimitDemand>, EngineClosed> {
        let (reply, activity) = oneshot::channel();
        engine.send(Input::ReportActivity(reply)).await.map_err(|_| EngineClosed)?;
        let activity: ActivityReport = activity.await.map_err(|_| EngineClosed)?;
        let inputs = match &mut self.shared_view {
            Some(shared_view) => shared_view.exchange(UnixMillis::now(), &activity),
            None => Vec::new(),
        };
        for input in inputs {
            engine.send(input).await.map_err(|_| EngineClosed)?;
        }
        Ok(activity.demands)
    }

    /// The datagrams that report this sender's demands to the fleet. Updates the engine's capacity from the latest
    /// demand sums of the fleet.
    pub(super) async fn report(
        &mut self,
        engine: &mpsc::Sender<Input>,
    ) -> Result<Vec<OutgoingDatagram>, EngineClosed> {
        let demands = self.query_demands(engine).await?;
        let datagrams = self.demand_exchange.report(UnixMillis::now(), &local_demands(&demands));
        let capacities = self.demand_exchange.capacities(UnixMillis::now());
        self.limits = self.reported_limits(&demands, capacities.is_some());
        if let Some(capacities) = capacities {
            let updates = self.capacity_updates(&demands, &capacities);
            engine.send(updates).await.map_err(|_| EngineClosed)?;
        }
        Ok(datagrams)
    }

    /// The limits in the demands. Each limit is assumed to be fully available if no demand sums of the fleet are known.
    fn reported_limits(&self, demands: &[LimitDemand], have_sums: bool) -> Vec<ReportedLimit> {
        let mut limits = Vec::with_capacity(demands.len());
        for LimitDemand { limit: id, demand } in demands {
            let available_fraction =
                if have_sums { self.demand_exchange.available_fraction(*id, demand.limit) } else { 1.0 };
            limits.push(ReportedLimit { id: *id, scope: demand.scope, available_fraction });
        }
        limits
    }

    /// The capacity of each limit. It is infinite if `capacities` does not contain the limit, because the fleet is far
    /// from reaching that limit.
    fn capacity_updates(&self, demands: &[LimitDemand], capacities: &[LimitCapacity]) -> Input {
        let rate_by_limit: HashMap<LimitId, f64> =
            capacities.iter().map(|capacity| (capacity.limit_id, capacity.rate_per_demand)).collect();
        let mut updates = Vec::with_capacity(demands.len());
        for LimitDemand { limit: id, demand } in demands {
            updates.push(CapacityUpdate {
                scope: demand.scope,
                rate_per_demand: rate_by_limit.get(id).copied().unwrap_or(f64::INFINITY),
                fleet_demand: self.demand_exchange.fleet_demand(*id),
                valid_for: CAPACITY_VALIDITY,
            });
        }
        Input::CapacityUpdates(updates)
    }

    /// The datagram that offers the permits which this sender does not need; `None` if it has none to offer. Updates
    /// the engine's permits.
    pub(super) async fn offer(
        &mut self,
        engine: &mpsc::Sender<Input>,
    ) -> Result<Option<OutgoingDatagram>, EngineClosed> {
        let demands = self.query_demands(engine).await?;
        let own_demands = local_demands(&demands);
        let datagram =
            self.permits.as_mut().and_then(|permits| permits.offer(UnixMillis::now(), &own_demands));
        self.update_permits(engine).await?;
        Ok(datagram)
    }

    /// Sends the current permits of each limit to the engine, if permits are in use.
    pub(super) async fn update_permits(&self, engine: &mpsc::Sender<Input>) -> Result<(), EngineClosed> {
        let Some(ledger) = &self.permits else { return Ok(()) };
        let now = UnixMillis::now();
        let mut updates = Vec::with_capacity(self.limits.len());
        for limit in &self.limits {
            let permits = ledger.permits(now, limit.id, limit.available_fraction);
            updates.push(PermitUpdate { scope: limit.scope, permits });
        }
        engine.send(Input::Permits(updates)).await.map_err(|_| EngineClosed)
    }
}

/// Converts the engine's demands to those of the gossip protocols.
fn local_demands(demands: &[LimitDemand]) -> Vec<LocalDemand> {
    let local = demands.iter().map(|LimitDemand { limit, demand }| LocalDemand {
        limit_id: *limit,
        limit: demand.limit,
        demand: demand.calls_wanted,
        calls: demand.calls_made,
        rejected: demand.rejected,
        failed: demand.failed,
    });
    local.collect()
}
