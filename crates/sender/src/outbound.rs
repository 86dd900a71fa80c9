//! Calls to receivers: the routes as last told, the pool of kept connections, calls and probes.

mod backoff;
mod exchange;
mod outcome;
mod pool;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rudderspindle_journal::{MAX_BODY, MessageId};
use rudderspindle_policy::interface::*;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::event::{AttemptResult, Call, IDEMPOTENCY_KEY, Input, MESSAGE_LOG};
use crate::handover::{HandoverMessage, PeerProcess};
use crate::metrics::Metrics;
use crate::write_progress::{MAX_BUFFER, TrackedStream, WriteProgress};
use backoff::Waits;
use exchange::Bounds;
pub use outcome::LONGEST_WAIT;
use pool::{Connection, IDLE_MARGIN};

pub use backoff::Route;

const SWEEP: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A call that is out, as its owner holds it.
#[derive(Debug)]
pub struct CallOut {
    pub attempt: u32,
    cancelled: Rc<Notify>,
}

impl CallOut {
    /// Asks for the call's end. Its one outcome comes as ever, and is what the call knows by then: an answer
    /// that has been read, or that is on its way to the host, is not lost.
    pub fn cancel(&self) {
        self.cancelled.notify_one();
    }
}

/// Everything that calls share.
#[derive(Debug)]
pub struct Outbound {
    routes: RefCell<HashMap<RouteId, Route>>,
    /// Until when nothing may be sent.
    waits: RefCell<HashMap<Waits, Instant>>,
    idle: RefCell<HashMap<RouteId, Vec<Connection>>>,
    sockets: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_time: Duration,
    metrics: Rc<Metrics>,
    /// Hears of every wait that is told.
    peer_process: Rc<PeerProcess>,
    host: mpsc::Sender<Input>,
}

impl Outbound {
    pub fn new(
        settings: &Settings,
        sockets: usize,
        metrics: Rc<Metrics>,
        peer_process: Rc<PeerProcess>,
        host: mpsc::Sender<Input>,
    ) -> Self {
        let idle_close = Duration::from_secs_f64(settings.idle_close.max(0.0) / 1_000.0);
        Self {
            routes: RefCell::default(),
            waits: RefCell::default(),
            idle: RefCell::default(),
            sockets: Arc::new(Semaphore::new(sockets)),
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout.max(1.0) / 1_000.0),
            idle_time: idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2),
            metrics,
            peer_process,
            host,
        }
    }

    /// Takes in what the list says of a route. Connections that it makes useless are closed.
    pub fn list(&self, id: RouteId, route: Route) {
        let keeps = route.listing == Listing::Ready
            && self.routes.borrow().get(&id).is_some_and(|r| r.addr == route.addr);
        if !keeps {
            self.idle.borrow_mut().remove(&id);
        }
        if route.listing == Listing::Gone {
            // Receivers come and go all day under ever new names.
            self.routes.borrow_mut().remove(&id);
        } else {
            self.routes.borrow_mut().insert(id, route);
        }
    }

    /// A whole list has come: what it does not name is gone.
    pub fn keep_only(&self, listed: &HashSet<RouteId>) {
        self.routes.borrow_mut().retain(|id, _| listed.contains(id));
        self.idle.borrow_mut().retain(|id, _| listed.contains(id));
    }

    /// A receiver's name and zone.
    pub fn place(&self, id: RouteId) -> Option<(Rc<str>, Rc<str>)> {
        self.routes.borrow().get(&id).map(|r| (r.receiver.clone(), r.zone.clone()))
    }

    /// Closes connections that have stood idle for too long, for good.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, idle| {
                idle.retain(|c| c.config(now, self.idle_time));
                !idle.is_empty()
            });
            self.waits.borrow_mut().retain(|_, until| *until > now);
        }
    }

    /// Starts a call; what comes of it is told to the host, once.
    pub fn start(self: &Rc<Self>, call: Call) -> CallOut {
        let (this, cancelled) = (self.clone(), Rc::new(Notify::new()));
        let out = CallOut { attempt: call.attempt, cancelled: cancelled.clone() };
        spawn_local(async move {
            let (id, attempt) = (call.id, call.attempt);
            let (result, rest) = this.call(&call, &cancelled).await;
            let _ = this.host.send(Input::Outcome { id, attempt, result }).await;
            this.finish(call.route, rest).await;
        });
        out
    }

    /// Starts a probe; what comes of it is told to the host.
    pub fn probe(self: &Rc<Self>, route: RouteId) {
        let this = self.clone();
        spawn_local(async move {
            let until = Instant::now() + PROBE_TIMEOUT;
            let bounds = Bounds { until, latest: until, keyed_repeat: false };
            let request =
                |host: HeaderValue, _| Request::get("/-/healthy").header(HOST, host).body(Full::default());
            let (report, rest) = this.exchange(route, &bounds, &Notify::new(), None, request).await;
            let _ = this.host.send(Input::HealthChecked { route, outcome: report.outcome }).await;
            this.finish(route, rest).await;
        });
    }
}

#[cfg(test)]
mod tests;
