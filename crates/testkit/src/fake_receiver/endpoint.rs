//! State of an endpoint: its outage, connections, workers and rate limit.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, watch};
use tokio::time::sleep_until;

use super::limit_state::LimitState;
use crate::scenario::{EndpointPlan, Outage, ReceiverPlan, SeededRng};

/// Factor on the number of workers that the rate limit needs.
const WORKER_RESERVE: f64 = 1.33;

/// Locks a mutex, even if it is poisoned.
pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An outage that an endpoint is in.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveOutage {
    pub(super) outage: Outage,
    pub(super) begin: Instant,
    pub(super) end: Instant,
}

/// An endpoint of a fake receiver.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) id: String,
    pub(super) zone: String,
    pub(super) outage: watch::Sender<Option<ActiveOutage>>,
    /// Permits for open connections.
    pub(super) connections: Arc<Semaphore>,
    /// Permits for calls that are being served.
    pub(super) workers: Arc<Semaphore>,
    /// Calls that wait for a worker.
    queued: Mutex<usize>,
    max_queued: usize,
    pub(super) rng: Mutex<SeededRng>,
    pub(super) limit: Arc<Mutex<LimitState>>,
}

impl Endpoint {
    pub(super) fn new(
        plan: &ReceiverPlan,
        endpoint: &EndpointPlan,
        seed: u64,
        limit: Arc<Mutex<LimitState>>,
    ) -> Self {
        let busy_workers = plan.per_s.get() * plan.service_time_ms.get() as f64 / 1_000.0 * WORKER_RESERVE;
        Self {
            id: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
            outage: watch::channel(None).0,
            connections: Arc::new(Semaphore::new(plan.max_connections.into())),
            workers: Arc::new(Semaphore::new((busy_workers.ceil() as usize).max(1))),
            queued: Mutex::new(0),
            max_queued: plan.max_queued.into(),
            rng: Mutex::new(SeededRng::new(seed)),
            limit,
        }
    }

    /// The outage that it is in now.
    pub(super) fn active_outage(&self) -> Option<ActiveOutage> {
        *self.outage.borrow()
    }

    /// Whether it is in an outage of this kind now.
    pub(super) fn suffers(&self, outage: Outage) -> bool {
        self.active_outage().is_some_and(|active| active.outage == outage)
    }

    /// Whether it has collapsed under load.
    pub(super) fn has_collapsed(&self) -> bool {
        locked(&self.limit).has_collapsed()
    }

    /// Puts a call into the queue for a worker, unless the queue is full and no worker is free.
    pub(super) fn try_enqueue(&self) -> bool {
        let mut queued = locked(&self.queued);
        if self.workers.available_permits() == 0 && *queued >= self.max_queued {
            return false;
        }
        *queued += 1;
        true
    }

    /// Removes a call that has a worker from the queue.
    pub(super) fn dequeue(&self) {
        *locked(&self.queued) -= 1;
    }

    /// Waits for the end of the current stall, if there is one.
    pub(super) async fn wait_out_stall(&self) {
        let Some(active) = self.active_outage() else { return };
        let Outage::Stall { stop_ms, every_ms } = active.outage else { return };
        let into_period_ms = active.begin.elapsed().as_millis() as u64 % every_ms.get().max(1);
        if into_period_ms < stop_ms.get() {
            let rest = Duration::from_millis(stop_ms.get() - into_period_ms);
            sleep_until((Instant::now() + rest).into()).await;
        }
    }
}
