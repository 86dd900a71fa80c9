//! Sends calls and health checks to receivers, over pooled connections and outside the receivers' backoffs.

mod backoff;
mod connection;
mod exchange;
mod outcome;
mod pool;
mod request;
mod response;
mod routes;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rudderspindle_policy::interface::{Listing, RouteId, Settings};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::event::{Call, Input};
use crate::handover::PeerProcess;
use crate::metrics::Metrics;
use backoff::Backoffs;
use exchange::Exchange;
pub use outcome::MAX_BACKOFF_MS;
use pool::{IDLE_CLOSE_MARGIN, IdlePool};
use routes::RouteTable;
pub use routes::{ReceiverLocation, Route};

/// Interval in which expired idle connections and backoffs are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Cancels a call that is in flight.
#[derive(Debug)]
pub struct CallHandle {
    /// Index of the attempt, from 0.
    pub attempt: u32,
    cancelled: Rc<Notify>,
}

impl CallHandle {
    /// Cancels the call. Its one outcome is still reported; a response that has been read by then counts.
    pub fn cancel(&self) {
        self.cancelled.notify_one();
    }
}

/// State shared by all calls.
#[derive(Debug)]
pub struct Outbound {
    routes: RouteTable,
    backoffs: Backoffs,
    idle: IdlePool,
    /// One permit for each connection that may be opened.
    free_connections: Arc<Semaphore>,
    connect_timeout: Duration,
    metrics: Rc<Metrics>,
    /// Receives every backoff that a receiver requests.
    peer_process: Rc<PeerProcess>,
    to_engine: mpsc::Sender<Input>,
}

impl Outbound {
    /// Creates the state without routes; at most `max_connections` may be open. Outcomes are sent to `to_engine`.
    pub fn new(
        settings: &Settings,
        max_connections: usize,
        metrics: Rc<Metrics>,
        peer_process: Rc<PeerProcess>,
        to_engine: mpsc::Sender<Input>,
    ) -> Self {
        let idle_close = Duration::from_secs_f64(settings.idle_close.max(0.0) / 1_000.0);
        let max_idle_time = idle_close.saturating_sub(IDLE_CLOSE_MARGIN).max(idle_close / 2);
        Self {
            routes: RouteTable::default(),
            backoffs: Backoffs::default(),
            idle: IdlePool::new(max_idle_time),
            free_connections: Arc::new(Semaphore::new(max_connections)),
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout.max(1.0) / 1_000.0),
            metrics,
            peer_process,
            to_engine,
        }
    }

    /// Applies an entry of the endpoint list. Idle connections that it makes useless are closed.
    pub fn update_route(&self, id: RouteId, route: Route) {
        let connections_usable =
            route.listing == Listing::Ready && self.routes.address_matches(id, route.addr);
        if !connections_usable {
            self.idle.remove_route(id);
        }
        self.routes.update(id, route);
    }

    /// Removes all routes that are not in a complete endpoint list.
    pub fn retain_routes(&self, listed: &HashSet<RouteId>) {
        self.routes.retain(listed);
        self.idle.retain_routes(listed);
    }

    /// The name and the zone of a route's receiver.
    pub fn receiver_location(&self, id: RouteId) -> Option<ReceiverLocation> {
        self.routes.receiver_location(id)
    }

    /// Removes expired idle connections and backoffs, until the runtime ends.
    pub async fn sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.idle.remove_expired(now);
            self.backoffs.remove_expired(now);
        }
    }

    /// Spawns a call, whose one outcome is reported to the engine. The call ends at its deadline at the latest;
    /// [`CallHandle::cancel`] ends it earlier.
    pub fn start_call(self: &Rc<Self>, call: Call) -> CallHandle {
        let cancelled = Rc::new(Notify::new());
        let handle = CallHandle { attempt: call.attempt, cancelled: cancelled.clone() };
        let outbound = self.clone();
        spawn_local(async move {
            let exchange = Exchange::call(&call, &cancelled);
            let exchanged = outbound.exchange(&exchange).await;
            let outcome =
                Input::AttemptFinished { id: call.id, attempt: call.attempt, outcome: exchanged.result };
            let _ = outbound.to_engine.send(outcome).await;
            outbound.recycle(call.route, exchanged.used_connection).await;
        });
        handle
    }

    /// Spawns a health check, whose outcome is reported to the engine. It ends after [`request::HEALTH_CHECK_TIMEOUT`] at
    /// the latest.
    pub fn start_health_check(self: &Rc<Self>, route: RouteId) {
        let outbound = self.clone();
        spawn_local(async move {
            let never_cancelled = Notify::new();
            let exchange = Exchange::health_check(route, &never_cancelled);
            let exchanged = outbound.exchange(&exchange).await;
            let outcome = exchanged.result.outcome;
            let _ = outbound.to_engine.send(Input::HealthChecked { route, outcome }).await;
            outbound.recycle(route, exchanged.used_connection).await;
        });
    }
}

#[cfg(test)]
mod tests;
