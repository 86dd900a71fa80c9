//! Computes the capacity of each limit from the latest sums.

use rudderspindle_clock::UnixMillis;

use super::{DemandExchange, MAX_SUMS_AGE, ROUND, round_at};
use crate::limit_id::LimitId;
use crate::load_totals::Load;

/// The rate that a limit allows for each call in demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitCapacity {
    /// The limit.
    pub limit_id: LimitId,
    /// Calls a second for each call in demand.
    pub rate_per_demand: f64,
}

impl DemandExchange {
    /// The estimated fraction of a limit that the destination accepts, from 0 to 1. It was computed by the last call of
    /// [`capacities`](Self::capacities); without an estimate it is 1.
    pub fn available_fraction(&self, limit_id: LimitId, limit: f64) -> f64 {
        self.estimates.get(&limit_id).map_or(1.0, |estimate| estimate.available_fraction(limit))
    }

    /// Calls in demand at all senders according to the latest sums; 0 if the sums do not include the limit.
    ///
    /// Senders that are missing in the sums are assumed to have the mean demand, even if they are down, because
    /// otherwise each partition of a fleet would use the whole limit.
    pub fn fleet_demand(&self, limit_id: LimitId) -> f64 {
        let Some(received) = &self.received_sums else { return 0.0 };
        let Some(load) = received.loads.get(&limit_id) else { return 0.0 };
        load.demand * self.sender_count as f64 / received.sender_count.max(1) as f64
    }

    /// The capacity of each limit that the latest sums include, and of each limit that this sender first reported after
    /// the round of these sums. `None` if no recent sums were received.
    pub fn capacities(&mut self, now: UnixMillis) -> Option<Vec<LimitCapacity>> {
        let round = self.sums_round(round_at(now))?;
        if self.applied_round != Some(round) {
            self.apply_sums(round);
        }
        let mut capacities = self.equal_shares_of_new_limits(round);
        capacities.extend(&self.capacities);
        Some(capacities)
    }

    /// The round of the sums from which capacities are computed. It is 0 in the first rounds after this sender's first
    /// report, if no sums were received yet. `None` if there are no recent sums, or if this sender reports no limit.
    fn sums_round(&self, current_round: u64) -> Option<u64> {
        let first_round = self.local_demand.values().map(|history| history.first_round).min()?;
        match &self.received_sums {
            Some(received) if received.round + MAX_SUMS_AGE >= current_round => Some(received.round),
            None if first_round + MAX_SUMS_AGE >= current_round => Some(0),
            _ => None,
        }
    }

    /// Updates the estimate of each limit with the stored sums.
    fn apply_sums(&mut self, round: u64) {
        let Some(received) = &self.received_sums else { return };
        let elapsed_rounds =
            self.applied_round.map_or(1, |applied_round| round.saturating_sub(applied_round));
        let elapsed_s = (elapsed_rounds.clamp(1, MAX_SUMS_AGE) * ROUND) as f64 / 1_000.0;
        let live_per_included = self.liveness.live_per_included(received.included_bits);
        self.applied_round = Some(round);
        self.capacities.clear();
        for (&limit_id, history) in &self.local_demand {
            let totals = received.loads.get(&limit_id).map(|load| load.scaled_by(live_per_included));
            let estimate = self.estimates.entry(limit_id).or_default();
            let rate_per_demand = estimate.update(
                history.limit,
                &totals.unwrap_or(Load::default()),
                elapsed_s,
                self.recovery_ramp,
            );
            if totals.is_some() {
                self.capacities.push(LimitCapacity { limit_id, rate_per_demand });
            }
        }
    }

    /// An equal share of each limit that was first reported after `round`, whose sums therefore do not include it.
    /// Every sender is assumed to have one call in demand at such a limit.
    fn equal_shares_of_new_limits(&self, round: u64) -> Vec<LimitCapacity> {
        let new_limits = self.local_demand.iter().filter(|(_, history)| history.first_round > round);
        let equal_share = |limit: f64| limit / self.sender_count.max(1) as f64;
        new_limits
            .map(|(&limit_id, history)| LimitCapacity {
                limit_id,
                rate_per_demand: equal_share(history.limit),
            })
            .collect()
    }
}
