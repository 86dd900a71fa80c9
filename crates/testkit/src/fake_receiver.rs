//! A partner: endpoints in halls that take calls, refuse them, take effect, and fail as scripted.
//!
//! Each sender reaches each endpoint at an address of its own: that tells whose call it is. What an endpoint may
//! take is decided by [`Counter`], which keeps no clock.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{sleep, sleep_until};

use crate::event_log::{Event, EventLog, Rules};
use crate::listen;
use crate::scenario::{Draw, Limit, Outage, ReceiverPlan};

/// What a call's body may hold.
const MAX_BODY: usize = 64 * 1024;
/// An idle connection is closed after this time.
const IDLE: Duration = Duration::from_secs(15);
/// For so long an endpoint remembers a key.
pub const KEY_TIME: Duration = Duration::from_secs(15);
/// A rate's burst, in seconds of it.
const BURST_S: f64 = 0.5;
/// Keys that a hall remembers at most; the oldest goes first.
const MOST_KEYS: usize = 100_000;

/// What a partner takes: a plain rate or a count in each span. Times are microseconds on any clock.
#[derive(Clone, Debug)]
pub struct Counter {
    limit: Limit,
    per_s: f64,
    refused_count: bool,
    /// The span that is open, and what it has taken.
    span: u64,
    used: f64,
    /// For a rate: what is left of the burst, and as of when.
    left: f64,
    at: u64,
}

impl Counter {
    /// One that has taken nothing.
    pub fn new(limit: Limit, per_s: f64, refused_count: bool) -> Self {
        Self { limit, per_s, refused_count, span: 0, used: 0.0, left: per_s * BURST_S, at: 0 }
    }

    /// A call at `now`: taken, or refused with the time until there is room.
    ///
    /// # Errors
    ///
    /// Microseconds until a call would be taken, if no others came.
    pub fn call(&mut self, now: u64) -> Result<(), u64> {
        match self.limit {
            Limit::Rate => {
                let since = now.saturating_sub(self.at) as f64 / 1e6;
                self.left = (self.left + since * self.per_s).min((self.per_s * BURST_S).max(1.0));
                self.at = now;
                if self.left >= 1.0 {
                    self.left -= 1.0;
                    return Ok(());
                }
                let wait = (1.0 - self.left) / self.per_s;
                if self.refused_count {
                    self.left = (self.left - 1.0).max(-self.per_s);
                }
                Err((wait * 1e6) as u64)
            }
            Limit::Span { span_ms } => {
                let length = span_ms.get().max(1) * 1_000;
                if now / length != self.span {
                    (self.span, self.used) = (now / length, 0.0);
                }
                let room = (self.per_s * length as f64 / 1e6).max(1.0);
                let taken = self.used + 1.0 <= room;
                if taken || self.refused_count {
                    self.used += 1.0;
                }
                if taken { Ok(()) } else { Err((self.span + 1) * length - now) }
            }
        }
    }
}

/// What all endpoints of a gate share: of a partner, or of one endpoint that is apart.
#[derive(Debug)]
struct Gate {
    counter: Counter,
    per_s: f64,
    /// Endpoints, and those of them that are struck.
    members: usize,
    struck: HashSet<String>,
    all_struck: bool,
    /// When it came back cold, on the log's clock; and what has come since.
    returned: Option<u64>,
    came: VecDeque<u64>,
    fallen: bool,
}

impl Gate {
    /// Counts what comes while it is cold; too much for too long pushes it over, and it stays down.
    fn push(&mut self, rules: &Rules, now: u64) {
        let Some(returned) = self.returned else { return };
        let since = now.saturating_sub(returned);
        if since > rules.warm_up_ms * 1_000 {
            return;
        }
        let span = rules.overload_window_ms * 1_000;
        self.came.push_back(now);
        while self.came.front().is_some_and(|&at| at + span < now) {
            self.came.pop_front();
        }
        let from = rules.warm_share(since.saturating_sub(span));
        let can = self.per_s * span as f64 / 1e6 * (from + rules.warm_share(since)) / 2.0;
        // A little more than the judge allows: a partner does not fall before the rule says so.
        self.fallen |= self.came.len() as f64 > rules.overload_multiple * can + 6.0;
    }

    fn pace(&self, rules: &Rules, now: u64) -> f64 {
        self.returned.map_or(1.0, |returned| rules.warm_share(now.saturating_sub(returned)))
    }
}

/// What an endpoint is struck by, and until when.
#[derive(Clone, Copy, Debug)]
struct Struck {
    outage: Outage,
    since: Instant,
    until: Instant,
}

#[derive(Debug)]
struct Endpoint {
    id: String,
    hall: String,
    struck: watch::Sender<Option<Struck>>,
    connections: Arc<Semaphore>,
    /// Workers, and calls that wait for one.
    workers: Arc<Semaphore>,
    queued: Mutex<usize>,
    draw: Mutex<Draw>,
    gate: Arc<Mutex<Gate>>,
}

/// Keys that a hall remembers, and until when.
#[derive(Debug, Default)]
struct Keys {
    until: HashMap<String, Instant>,
    order: VecDeque<(Instant, String)>,
}

impl Keys {
    /// Whether the key is new; from now on it is remembered.
    fn is_new(&mut self, key: &str, now: Instant) -> bool {
        while self.order.front().is_some_and(|(until, _)| *until <= now) || self.order.len() > MOST_KEYS {
            if let Some((_, key)) = self.order.pop_front() {
                self.until.remove(&key);
            }
        }
        if self.until.contains_key(key) {
            return false;
        }
        self.until.insert(key.to_owned(), now + KEY_TIME);
        self.order.push_back((now + KEY_TIME, key.to_owned()));
        true
    }
}

/// A partner that runs until it is dropped.
#[derive(Debug)]
pub struct FakeReceiver {
    shared: Arc<Shared>,
    endpoints: Vec<Arc<Endpoint>>,
    addrs: HashMap<(String, String), SocketAddr>,
    tasks: tokio::task::JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    plan: ReceiverPlan,
    rules: Rules,
    evidence: EventLog,
    keys: Mutex<HashMap<String, Keys>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeReceiver {
    /// Starts a partner for these senders; `seed` decides what its script leaves to chance.
    ///
    /// # Errors
    ///
    /// What the sockets say.
    pub async fn start(
        plan: &ReceiverPlan,
        senders: &[String],
        rules: &Rules,
        seed: u64,
        evidence: &EventLog,
    ) -> std::io::Result<Self> {
        let (plan, rules, evidence) = (plan.clone(), rules.clone(), evidence.clone());
        let shared = Arc::new(Shared { plan, rules, evidence, keys: Mutex::default() });
        let plan = &shared.plan;
        let gate = |members| {
            let per_s = plan.per_s.get();
            let counter = Counter::new(plan.limit, per_s, plan.refused_count);
            let (struck, came) = Default::default();
            let (all_struck, returned, fallen) = (false, None, false);
            Arc::new(Mutex::new(Gate { counter, per_s, members, struck, all_struck, returned, came, fallen }))
        };
        let common = gate(plan.endpoints.len());
        let mut partner = Self {
            shared: shared.clone(),
            endpoints: Vec::new(),
            addrs: HashMap::new(),
            tasks: tokio::task::JoinSet::new(),
        };
        for (n, endpoint) in plan.endpoints.iter().enumerate() {
            // Workers for a third more than the limit lets in.
            let busy = plan.per_s.get() * plan.work_ms.get() as f64 / 1_000.0 * 1.33;
            let seed = seed ^ (u64::from(plan.number) << 32) ^ n as u64;
            let endpoint = Arc::new(Endpoint {
                id: endpoint.id.clone(),
                hall: endpoint.hall.clone(),
                struck: watch::channel(None).0,
                connections: Arc::new(Semaphore::new(plan.connections.into())),
                workers: Arc::new(Semaphore::new((busy.ceil() as usize).max(1))),
                queued: Mutex::new(0),
                draw: Mutex::new(Draw::new(seed)),
                gate: if plan.apart { gate(1) } else { common.clone() },
            });
            for sender in senders {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                partner.addrs.insert((sender.clone(), endpoint.id.clone()), listener.local_addr()?);
                let (shared, endpoint, sender) = (shared.clone(), endpoint.clone(), sender.clone());
                partner.tasks.spawn(accept(shared, endpoint, sender, listener));
            }
            partner.endpoints.push(endpoint);
        }
        Ok(partner)
    }

    /// Where a sender reaches an endpoint.
    pub fn addr(&self, sender: &str, endpoint: &str) -> Option<SocketAddr> {
        self.addrs.get(&(sender.to_owned(), endpoint.to_owned())).copied()
    }

    /// Its plan.
    pub fn plan(&self) -> &ReceiverPlan {
        &self.shared.plan
    }

    /// Strikes endpoints (all, if none is named) for a while; returns when it is over.
    pub async fn strike(&self, endpoints: &[String], outage: Outage, for_time: Duration) {
        let since = Instant::now();
        let struck = Struck { outage, since, until: since + for_time };
        let hit: Vec<&Arc<Endpoint>> =
            self.endpoints.iter().filter(|e| endpoints.is_empty() || endpoints.contains(&e.id)).collect();
        // Stand-stills and the loss of part of the calls leave nobody cold.
        let cold = !matches!(outage, Outage::Stall { .. })
            && !matches!(outage, Outage::Errors { share } if share.get() <= 0.5);
        for endpoint in &hit {
            endpoint.struck.send_replace(Some(struck));
            if cold {
                let (endpoint, kind) = (endpoint.id.clone(), kind(outage).to_owned());
                self.shared.evidence.record(Event::Outage { endpoint, kind, on: true });
            }
            let mut gate = locked(&endpoint.gate);
            if cold {
                gate.struck.insert(endpoint.id.clone());
                gate.all_struck |= gate.struck.len() == gate.members;
            }
        }
        sleep(for_time).await;
        for endpoint in &hit {
            if cold {
                let mut gate = locked(&endpoint.gate);
                gate.struck.remove(&endpoint.id);
                if gate.struck.is_empty() && std::mem::take(&mut gate.all_struck) {
                    gate.returned = Some(self.shared.evidence.now());
                    gate.came.clear();
                }
                drop(gate);
                let (endpoint, kind) = (endpoint.id.clone(), kind(outage).to_owned());
                self.shared.evidence.record(Event::Outage { endpoint, kind, on: false });
            }
            endpoint.struck.send_replace(None);
        }
    }

    /// Whether an endpoint has been pushed over since it last came back.
    pub fn has_fallen(&self) -> bool {
        self.endpoints.iter().any(|e| locked(&e.gate).fallen)
    }
}

fn kind(outage: Outage) -> &'static str {
    match outage {
        Outage::Refuse => "refuse",
        Outage::Shut => "shut",
        Outage::Errors { .. } => "errors",
        Outage::Stall { .. } => "stall",
        Outage::Silent => "silent",
        Outage::Vanish => "vanish",
    }
}

/// Resets a connection instead of ending it.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn accept(shared: Arc<Shared>, endpoint: Arc<Endpoint>, sender: String, listener: TcpListener) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        let stream = listen::next(&listener, &mut open).await;
        let state = *endpoint.struck.borrow();
        let fallen = locked(&endpoint.gate).fallen;
        if fallen || matches!(state, Some(Struck { outage: Outage::Refuse, .. })) {
            let (sender, endpoint) = (sender.clone(), endpoint.id.clone());
            shared.evidence.record(Event::ConnectionRefused { sender, endpoint });
            reset(&stream);
            continue;
        }
        let Ok(permit) = endpoint.connections.clone().try_acquire_owned() else {
            reset(&stream);
            continue;
        };
        let (shared, endpoint, sender) = (shared.clone(), endpoint.clone(), sender.clone());
        open.spawn(async move {
            connection(&shared, &endpoint, &sender, stream).await;
            drop(permit);
        });
    }
}

/// Serves a connection until it ends, or until an outage ends it.
async fn connection(shared: &Arc<Shared>, endpoint: &Arc<Endpoint>, sender: &str, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut struck = endpoint.struck.subscribe();
    // A machine that is gone answers nothing, and what is open is reset when it is back. Its kernel still reads
    // here: or nobody would see that a sender has given a call up, and it would count as out.
    let mut vanished = gone(*struck.borrow_and_update());
    let raw = match stream.into_std().and_then(|s| Ok((s.try_clone()?, TcpStream::from_std(s)?))) {
        Ok(pair) => pair,
        Err(_) => return,
    };
    let (handle, stream) = raw;
    let used = Arc::new(Notify::new());
    let service = service_fn(|request| {
        used.notify_one();
        answer(shared.clone(), endpoint.clone(), sender.to_owned(), request)
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let mut serving = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            changed = struck.changed() => {
                if changed.is_err() {
                    return;
                }
                let state = *struck.borrow_and_update();
                if vanished || matches!(state, Some(Struck { outage: Outage::Refuse, .. })) {
                    break;
                }
                vanished = gone(state);
            }
            () = idle(&used) => return,
        }
    }
    let _ = SockRef::from(&handle).set_linger(Some(Duration::ZERO));
}

/// Whether a machine is gone in this state.
fn gone(state: Option<Struck>) -> bool {
    matches!(state, Some(Struck { outage: Outage::Vanish, .. }))
}

async fn idle(used: &Notify) {
    while tokio::time::timeout(IDLE, used.notified()).await.is_ok() {}
}

/// Notes that a call was cut off unless it is told otherwise first.
struct Open {
    evidence: EventLog,
    call: u64,
    answered: bool,
}

impl Open {
    fn answer(mut self, status: u16, wait_ms: u64) -> Response<Full<Bytes>> {
        self.answered = true;
        self.evidence.record(Event::CallAnswered { call: self.call, status, retry_after_ms: wait_ms });
        let mut reply = plain(status);
        if wait_ms > 0 {
            reply.headers_mut().insert("x-backoff-ms", wait_ms.into());
        }
        reply
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.answered {
            self.evidence.record(Event::CallAborted { call: self.call });
        }
    }
}

fn plain(status: u16) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply
}

async fn answer(
    shared: Arc<Shared>,
    endpoint: Arc<Endpoint>,
    sender: String,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let first_us = shared.evidence.now();
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    if head.method == Method::GET && head.uri.path() == "/-/healthy" {
        let state = *endpoint.struck.borrow();
        let ok = state.is_none() && !locked(&endpoint.gate).fallen;
        locked(&endpoint.gate).push(&shared.rules, shared.evidence.now());
        shared.evidence.record(Event::HealthChecked { sender, endpoint: endpoint.id.clone(), ok });
        return Ok(plain(if ok { 200 } else { 503 }));
    }
    let (Some(message_id), "/v1/messages") = (text("x-txn"), head.uri.path()) else { return Ok(plain(400)) };
    let key = text("idempotency-key");
    let broken = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    Limited::new(body, MAX_BODY).collect().await.map_err(|_| broken())?;
    let call = shared.evidence.next_call_id();
    let id = endpoint.id.clone();
    shared.evidence.record(Event::CallReceived { call, sender, endpoint: id, message_id, first_us });
    let open = Open { evidence: shared.evidence.clone(), call, answered: false };
    let state = *endpoint.struck.borrow();
    let now = shared.evidence.now();
    let (fallen, admitted, pace) = {
        let mut gate = locked(&endpoint.gate);
        gate.push(&shared.rules, now);
        let pace = gate.pace(&shared.rules, now);
        (gate.fallen, gate.counter.call(now), pace)
    };
    if fallen {
        return Err(broken());
    }
    match state.map(|s| (s.outage, s)) {
        Some((Outage::Silent | Outage::Vanish, _)) => {
            // Until the connection ends.
            std::future::pending::<()>().await;
        }
        Some((Outage::Shut, s)) => {
            let left = s.until.saturating_duration_since(Instant::now()).as_millis() as u64;
            let tells = locked(&endpoint.draw).chance(shared.plan.tells.share.get());
            return Ok(open.answer(503, if tells { left.max(1) } else { 0 }));
        }
        Some((Outage::Errors { share }, _)) => {
            let (fails, ran) = {
                let mut draw = locked(&endpoint.draw);
                (draw.chance(share.get()), draw.chance(0.5))
            };
            if fails {
                if ran {
                    take_effect(&shared, &endpoint, call, key.as_deref());
                }
                return Ok(open.answer(500, 0));
            }
        }
        _ => {}
    }
    if let Err(until) = admitted {
        let tells = locked(&endpoint.draw).chance(shared.plan.tells.share.get());
        let wait =
            shared.plan.tells.wait_ms.map_or(until / 1_000 + 1, |wait| wait.get().max(until / 1_000 + 1));
        return Ok(if tells { open.answer(429, wait) } else { open.answer(503, 0) });
    }
    {
        let mut queued = locked(&endpoint.queued);
        if endpoint.workers.available_permits() == 0 && *queued >= usize::from(shared.plan.queue) {
            return Ok(open.answer(503, 0));
        }
        *queued += 1;
    }
    let mean = shared.plan.work_ms.get() as f64 / 1_000.0;
    let work = {
        // A mean of its own kind: never under a third of it, and seldom over three times.
        let mut draw = locked(&endpoint.draw);
        (mean / 3.0 + draw.exponential(mean * 2.0 / 3.0)) / pace
    };
    // A call that has begun runs on, also when nobody waits for it any more.
    let task = {
        let (shared, endpoint) = (shared.clone(), endpoint.clone());
        tokio::spawn(async move {
            let worker = endpoint.workers.clone().acquire_owned().await;
            *locked(&endpoint.queued) -= 1;
            sleep(Duration::from_secs_f64(work)).await;
            stand_still(&endpoint).await;
            drop(worker);
            take_effect(&shared, &endpoint, call, key.as_deref());
        })
    };
    task.await.map_err(|_| broken())?;
    if gone(*endpoint.struck.borrow()) {
        // It ran, and nobody will hear of it.
        std::future::pending::<()>().await;
    }
    Ok(open.answer(200, 0))
}

/// Waits while the endpoint stands still.
async fn stand_still(endpoint: &Endpoint) {
    let state = *endpoint.struck.borrow();
    let Some(Struck { outage: Outage::Stall { stop_ms, every_ms }, since, .. }) = state else { return };
    let (stop, every) = (stop_ms.get(), every_ms.get().max(1));
    let into = since.elapsed().as_millis() as u64 % every;
    if into < stop {
        sleep_until((Instant::now() + Duration::from_millis(stop - into)).into()).await;
    }
}

fn take_effect(shared: &Shared, endpoint: &Endpoint, call: u64, key: Option<&str>) {
    let repeat = key.is_some_and(|key| {
        let mut halls = locked(&shared.keys);
        !halls.entry(endpoint.hall.clone()).or_default().is_new(key, Instant::now())
    });
    shared.evidence.record(Event::Executed { call, repeat });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Ms;

    #[test]
    fn a_span_takes_its_count_and_tells_how_long_it_lasts() {
        let span = Limit::Span { span_ms: Ms::try_from(1_000).expect("a span") };
        let mut counter = Counter::new(span, 3.0, false);
        let taken: Vec<_> = (0..4).map(|n| counter.call(100_000 * n)).collect();
        assert_eq!(taken, [Ok(()), Ok(()), Ok(()), Err(700_000)]);
        assert_eq!(counter.call(1_000_000), Ok(()));
        // Refused calls use a span up where they count, and no later one.
        let mut counter = Counter::new(span, 1.0, true);
        assert_eq!([counter.call(0), counter.call(1), counter.call(2)], [Ok(()), Err(999_999), Err(999_998)]);
        assert_eq!(counter.call(1_000_000), Ok(()));
    }

    #[test]
    fn a_rate_takes_its_burst_and_then_evenly() {
        let mut counter = Counter::new(Limit::Rate, 4.0, false);
        assert_eq!([counter.call(0), counter.call(0)], [Ok(()), Ok(())]);
        assert_eq!(counter.call(0), Err(250_000));
        assert_eq!(counter.call(250_000), Ok(()));
        assert_eq!(counter.call(260_000), Err(240_000));
    }

    #[test]
    fn a_key_is_remembered_for_its_time() {
        let (mut keys, now) = (Keys::default(), Instant::now());
        assert!(keys.is_new("k", now));
        assert!(!keys.is_new("k", now + KEY_TIME - Duration::from_millis(1)));
        assert!(keys.is_new("k", now + KEY_TIME));
    }

    #[test]
    fn what_comes_back_cold_falls_over_only_when_pushed() {
        let rules = Rules::default();
        let gate = |every: u64| {
            let counter = Counter::new(Limit::Rate, 10.0, false);
            let mut gate = Gate {
                counter,
                per_s: 10.0,
                members: 1,
                struck: HashSet::new(),
                all_struck: false,
                returned: Some(0),
                came: VecDeque::new(),
                fallen: false,
            };
            (1..).map(|n| n * every).take_while(|t| *t < 9_000_000).for_each(|t| gate.push(&rules, t));
            gate.fallen
        };
        // Cold it can do 1.7 a second, so 2.5 times that is 4.25.
        assert!(!gate(250_000) && gate(100_000));
    }
}
