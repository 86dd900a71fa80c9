//! Sends calls and health checks to receivers over pooled connections. Nothing is sent during a receiver's backoff.

mod backoff;
mod connection;
mod connection_acquisition;
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

/// Interval between two removals of expired idle connections and backoffs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Cancels a call that is in flight.
#[derive(Debug)]
pub struct CallHandle {
    /// Index of the attempt among those of its message, from 0.
    pub attempt: u32,
    cancelled: Rc<Notify>,
}

impl CallHandle {
    /// Cancels the call. The call still reports exactly one outcome; if the head of its response has been read by now,
    /// this is the outcome that the response reports.
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
    /// One permit for each connection to a receiver that may still be opened.
    free_connections: Arc<Semaphore>,
    connect_timeout: Duration,
    metrics: Rc<Metrics>,
    /// The other process of this sender during a handover, its successor or predecessor. Each backoff that a receiver
    /// requests is reported to that process.
    peer_process: Rc<PeerProcess>,
    to_engine: mpsc::Sender<Input>,
}

impl Outbound {
    /// Creates the state without routes. At most `max_connections` to receivers are open at a time; outcomes
    /// are sent to `to_engine`.
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

    /// Applies an entry of the endpoint list. The route's idle connections are closed if the route no longer accepts
    /// calls or its address has changed.
    pub fn update_route(&self, id: RouteId, route: Route) {
        let connections_stay_valid =
            route.listing == Listing::Ready && self.routes.address_matches(id, route.addr);
        if !connections_stay_valid {
            self.idle.remove_route(id);
        }
        self.routes.update(id, route);
    }

    /// Removes all routes but `listed_routes`, the routes of a complete endpoint list.
    pub fn retain_routes(&self, listed_routes: &HashSet<RouteId>) {
        self.routes.retain(listed_routes);
        self.idle.retain_routes(listed_routes);
    }

    /// Receiver and zone of a route; `None` if the route is not on the endpoint list.
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

    /// Spawns a call and reports its outcome to the engine exactly once, at the call's deadline at the latest;
    /// [`CallHandle::cancel`] ends the call earlier.
    pub fn start_call(self: &Rc<Self>, call: Call) -> CallHandle {
        let cancelled = Rc::new(Notify::new());
        let handle = CallHandle { attempt: call.attempt, cancelled: cancelled.clone() };
        let outbound = self.clone();
        spawn_local(async move {
            let exchange = Exchange::call(&call, &cancelled);
            let exchange_outcome = outbound.exchange(&exchange).await;
            let input = Input::AttemptFinished {
                id: call.id,
                attempt: call.attempt,
                outcome: exchange_outcome.call_outcome,
            };
            let _ = outbound.to_engine.send(input).await;
            outbound.recycle(call.route, exchange_outcome.used_connection).await;
        });
        handle
    }

    /// Spawns a health check and reports its outcome to the engine, after [`request::HEALTH_CHECK_TIMEOUT`] at the
    /// latest.
    pub fn start_health_check(self: &Rc<Self>, route: RouteId) {
        let outbound = self.clone();
        spawn_local(async move {
            let never_cancelled = Notify::new();
            let exchange = Exchange::health_check(route, &never_cancelled);
            let exchange_outcome = outbound.exchange(&exchange).await;
            let outcome = exchange_outcome.call_outcome.outcome;
            let _ = outbound.to_engine.send(Input::HealthChecked { route, outcome }).await;
            outbound.recycle(route, exchange_outcome.used_connection).await;
        });
    }
}

#[cfg(test)]
mod tests;
