//! What the gossip task asks the engine for, and what it tells it.

use std::collections::HashMap;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{LimitCapacity, LimitId, LocalDemand, OutgoingDatagram};
use rudderspindle_policy::interface::{CapacityUpdate, Millis};
use tokio::sync::{mpsc, oneshot};

use super::{GossipTask, ReportedLimit};
use crate::event::{ActivityReport, Input, LimitDemand, PermitUpdate};

/// How long capacity shares are in effect, in milliseconds.
const CAPACITY_SHARE_LIFETIME: Millis = 1_000.0;

/// The engine has ended, and so does the exchange.
#[derive(Debug, thiserror::Error)]
#[error("the engine has ended")]
pub(super) struct EngineClosed;

impl GossipTask {
    /// Asks the engine for its demands and activity, and tells it what the shared view makes of that.
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

    /// Reports this sender's demands to the fleet, and the capacity shares that follow from the last sums to the engine.
    pub(super) async fn report(
        &mut self,
        engine: &mpsc::Sender<Input>,
    ) -> Result<Vec<OutgoingDatagram>, EngineClosed> {
        let demands = self.query_demands(engine).await?;
        let datagrams = self.demand_exchange.report(UnixMillis::now(), &local_demands(&demands));
        let capacities = self.demand_exchange.capacities(UnixMillis::now());
        self.limits = self.reported_limits(&demands, capacities.is_some());
        if let Some(capacities) = capacities {
            let shares = self.capacity_shares(&demands, &capacities);
            engine.send(shares).await.map_err(|_| EngineClosed)?;
        }
        Ok(datagrams)
    }

    /// The limits that the engine reported. Without sums they are taken to be open.
    fn reported_limits(&self, demands: &[LimitDemand], have_sums: bool) -> Vec<ReportedLimit> {
        let mut limits = Vec::with_capacity(demands.len());
        for LimitDemand { limit: id, demand } in demands {
            let open_share =
                if have_sums { self.demand_exchange.available_fraction(*id, demand.limit) } else { 1.0 };
            limits.push(ReportedLimit { id: *id, scope: demand.scope, open_share });
        }
        limits
    }

    /// The capacity share of each demand; infinite where the limit is far from reached.
    fn capacity_shares(&self, demands: &[LimitDemand], capacities: &[LimitCapacity]) -> Input {
        let by_limit: HashMap<LimitId, f64> =
            capacities.iter().map(|capacity| (capacity.limit_id, capacity.rate_per_demand)).collect();
        let mut updates = Vec::with_capacity(demands.len());
        for LimitDemand { limit: id, demand } in demands {
            updates.push(CapacityUpdate {
                scope: demand.scope,
                calls_per_demand: by_limit.get(id).copied().unwrap_or(f64::INFINITY),
                total_demand: self.demand_exchange.fleet_demand(*id),
                valid_for: CAPACITY_SHARE_LIFETIME,
            });
        }
        Input::CapacityUpdates(updates)
    }

    /// Offers the permits that this sender does not need, and tells the engine which ones it has.
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

    /// Tells the engine which permits it has, where permits are in use.
    pub(super) async fn update_permits(&self, engine: &mpsc::Sender<Input>) -> Result<(), EngineClosed> {
        let Some(ledger) = &self.permits else { return Ok(()) };
        let now = UnixMillis::now();
        let mut updates = Vec::with_capacity(self.limits.len());
        for limit in &self.limits {
            let permits = ledger.permits(now, limit.id, limit.open_share);
            updates.push(PermitUpdate { scope: limit.scope, permits });
        }
        engine.send(Input::Permits(updates)).await.map_err(|_| EngineClosed)
    }
}

/// Demands in the terms of the fleet.
fn local_demands(demands: &[LimitDemand]) -> Vec<LocalDemand> {
    let local = demands.iter().map(|LimitDemand { limit, demand }| LocalDemand {
        limit_id: *limit,
        limit: demand.limit,
        demand: demand.calls_wanted,
        calls: demand.called,
        rejected: demand.rejected,
        failed: demand.failed,
    });
    local.collect()
}
