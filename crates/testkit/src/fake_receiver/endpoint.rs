//! State of one endpoint: outage, connections, workers and rate limit.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, watch};
use tokio::time::sleep_until;

use super::limit_state::LimitState;
use crate::scenario::{EndpointPlan, Outage, ReceiverPlan, SeededRng};

/// Ratio of the number of workers to the mean number that is busy at the full rate.
const WORKER_HEADROOM: f64 = 1.33;

/// Locks a mutex, also if it is poisoned.
pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The current outage of an endpoint.
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
    /// The current outage; `None` while the endpoint works.
    pub(super) outage: watch::Sender<Option<ActiveOutage>>,
    /// Permits for open connections.
    pub(super) connections: Arc<Semaphore>,
    /// Permits for calls that are being served.
    pub(super) workers: Arc<Semaphore>,
    /// Number of calls that wait for a worker.
    queued: Mutex<usize>,
    max_queued: usize,
    pub(super) rng: Mutex<SeededRng>,
    /// The receiver's limit, or the endpoint's own one if its endpoints are independent.
    pub(super) limit: Arc<Mutex<LimitState>>,
}

impl Endpoint {
    pub(super) fn new(
        plan: &ReceiverPlan,
        endpoint: &EndpointPlan,
        seed: u64,
        limit: Arc<Mutex<LimitState>>,
    ) -> Self {
        let worker_count = plan.per_s.get() * plan.service_time_ms.get() as f64 / 1_000.0 * WORKER_HEADROOM;
        Self {
            id: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
            outage: watch::channel(None).0,
            connections: Arc::new(Semaphore::new(plan.max_connections.into())),
            workers: Arc::new(Semaphore::new((worker_count.ceil() as usize).max(1))),
            queued: Mutex::new(0),
            max_queued: plan.max_queued.into(),
            rng: Mutex::new(SeededRng::new(seed)),
            limit,
        }
    }

    pub(super) fn active_outage(&self) -> Option<ActiveOutage> {
        *self.outage.borrow()
    }

    /// Whether the endpoint is in this outage now.
    pub(super) fn is_in_outage(&self, outage: Outage) -> bool {
        self.active_outage().is_some_and(|active| active.outage == outage)
    }

    /// Whether the endpoint has collapsed under overload.
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

    /// Waits for the end of the current stop, if the endpoint is in a stall, which stops the workers periodically.
    pub(super) async fn wait_out_stall(&self) {
        let Some(active) = self.active_outage() else { return };
        let Outage::Stall { stop_ms, every_ms } = active.outage else { return };
        let elapsed_in_period_ms = active.begin.elapsed().as_millis() as u64 % every_ms.get().max(1);
        if elapsed_in_period_ms < stop_ms.get() {
            let remaining = Duration::from_millis(stop_ms.get() - elapsed_in_period_ms);
            sleep_until((Instant::now() + remaining).into()).await;
        }
    }
}
