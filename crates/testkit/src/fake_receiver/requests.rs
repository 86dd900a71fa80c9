//! Responds to an endpoint's requests: health checks and calls.

use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::time::sleep;

use super::Shared;
use super::endpoint::{Endpoint, locked};
use super::rate_limiter::LimitExceeded;
use crate::event_log::{Event, EventLog};
use crate::scenario::Outage;

/// Maximum length of a call's body, in bytes.
const MAX_BODY_LEN: usize = 64 * 1024;
/// Share of the calls that are executed, among those that fail in an outage with errors.
const EXECUTED_SHARE: f64 = 0.5;

type HttpResponse = Response<Full<Bytes>>;

/// Status and Retry-After of a response.
#[derive(Clone, Copy, Debug)]
struct Reply {
    status: u16,
    /// Retry-After in milliseconds; 0 for none.
    retry_after_ms: u64,
}

impl Reply {
    fn status(status: u16) -> Self {
        Self { status, retry_after_ms: 0 }
    }
}

/// Effect of an outage on a call.
#[derive(Clone, Copy, Debug)]
enum OutageEffect {
    /// The call is served as usual.
    None,
    /// The call gets no response.
    NoResponse,
    /// The call gets this reply.
    Reply(Reply),
    /// The call is executed and gets this reply.
    ExecuteAndReply(Reply),
}

/// A call that was received. Dropping it before the response records that the call was aborted.
struct ReceivedCall {
    event_log: EventLog,
    id: u64,
    answered: bool,
}

impl ReceivedCall {
    fn answer(mut self, reply: Reply) -> HttpResponse {
        let Reply { status, retry_after_ms } = reply;
        self.answered = true;
        self.event_log.record(Event::CallAnswered { call: self.id, status, retry_after_ms });
        let mut response = empty_response(status);
        if retry_after_ms > 0 {
            response.headers_mut().insert("x-backoff-ms", retry_after_ms.into());
        }
        response
    }
}

impl Drop for ReceivedCall {
    fn drop(&mut self) {
        if !self.answered {
            self.event_log.record(Event::CallAborted { call: self.id });
        }
    }
}

fn empty_response(status: u16) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// The error with which the server closes the connection without a response.
fn close_connection() -> std::io::Error {
    std::io::ErrorKind::UnexpectedEof.into()
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Responds to one request of a sender.
///
/// # Errors
///
/// An error that closes the connection without a response.
pub(super) async fn handle(
    shared: Arc<Shared>,
    endpoint: Arc<Endpoint>,
    sender: String,
    request: Request<Incoming>,
) -> Result<HttpResponse, std::io::Error> {
    let first_us = shared.event_log.now();
    let (head, body) = request.into_parts();
    if head.method == Method::GET && head.uri.path() == "/-/healthy" {
        return Ok(health_check(&shared, &endpoint, sender));
    }
    let (Some(message_id), "/v1/messages") = (header(&head.headers, "x-txn"), head.uri.path()) else {
        return Ok(empty_response(400));
    };
    let key = header(&head.headers, "idempotency-key");
    Limited::new(body, MAX_BODY_LEN).collect().await.map_err(|_| close_connection())?;
    let id = shared.event_log.next_call_id();
    let endpoint_id = endpoint.id.clone();
    shared.event_log.record(Event::CallReceived {
        call: id,
        sender,
        endpoint: endpoint_id,
        message_id,
        first_us,
    });
    let call = ReceivedCall { event_log: shared.event_log.clone(), id, answered: false };
    serve_call(&shared, &endpoint, call, key).await
}

fn health_check(shared: &Shared, endpoint: &Endpoint, sender: String) -> HttpResponse {
    let ok = endpoint.active_outage().is_none() && !endpoint.has_collapsed();
    locked(&endpoint.limit).record_arrival(&shared.rules, shared.event_log.now());
    shared.event_log.record(Event::HealthChecked { sender, endpoint: endpoint.id.clone(), ok });
    empty_response(if ok { 200 } else { 503 })
}

async fn serve_call(
    shared: &Arc<Shared>,
    endpoint: &Arc<Endpoint>,
    call: ReceivedCall,
    key: Option<String>,
) -> Result<HttpResponse, std::io::Error> {
    let active_outage = endpoint.active_outage();
    let now_us = shared.event_log.now();
    let admission = locked(&endpoint.limit).admit(&shared.rules, now_us);
    if admission.collapsed {
        return Err(close_connection());
    }
    let effect = active_outage
        .map_or(OutageEffect::None, |active| outage_effect(shared, endpoint, active.outage, active.end));
    match effect {
        OutageEffect::None => {}
        // Pending until the connection ends, which cancels this task.
        OutageEffect::NoResponse => pending().await,
        OutageEffect::Reply(reply) => return Ok(call.answer(reply)),
        OutageEffect::ExecuteAndReply(reply) => {
            execute(shared, endpoint, call.id, key.as_deref());
            return Ok(call.answer(reply));
        }
    }
    if let Err(exceeded) = admission.decision {
        return Ok(call.answer(rejection(shared, endpoint, exceeded)));
    }
    if !endpoint.try_enqueue() {
        return Ok(call.answer(Reply::status(503)));
    }
    execute_when_worker_is_free(shared, endpoint, call.id, key, admission.capacity_share).await?;
    if endpoint.is_in_outage(Outage::Unreachable) {
        // The call was executed, but its response is lost.
        pending::<()>().await;
    }
    Ok(call.answer(Reply::status(200)))
}

fn outage_effect(shared: &Shared, endpoint: &Endpoint, outage: Outage, end: Instant) -> OutageEffect {
    match outage {
        Outage::Unresponsive | Outage::Unreachable => OutageEffect::NoResponse,
        Outage::RejectAll => {
            let remaining_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
            let has_retry_after = locked(&endpoint.rng).chance(shared.plan.retry_after.share.get());
            let retry_after_ms = if has_retry_after { remaining_ms.max(1) } else { 0 };
            OutageEffect::Reply(Reply { status: 503, retry_after_ms })
        }
        Outage::Errors { share } => {
            let mut rng = locked(&endpoint.rng);
            let fails = rng.chance(share.get());
            let is_executed = rng.chance(EXECUTED_SHARE);
            match (fails, is_executed) {
                (false, _) => OutageEffect::None,
                (true, false) => OutageEffect::Reply(Reply::status(500)),
                (true, true) => OutageEffect::ExecuteAndReply(Reply::status(500)),
            }
        }
        Outage::RefuseConnections | Outage::Stall { .. } => OutageEffect::None,
    }
}

/// The reply to a call that exceeds the rate limit.
fn rejection(shared: &Shared, endpoint: &Endpoint, exceeded: LimitExceeded) -> Reply {
    let policy = &shared.plan.retry_after;
    if !locked(&endpoint.rng).chance(policy.share.get()) {
        return Reply::status(503);
    }
    let available_in_ms = exceeded.available_in_us / 1_000 + 1;
    let retry_after_ms = policy.wait_ms.map_or(available_in_ms, |wait| wait.get().max(available_in_ms));
    Reply { status: 429, retry_after_ms }
}

/// Waits for a free worker and executes the call after its service time, even if its connection ends meanwhile.
async fn execute_when_worker_is_free(
    shared: &Arc<Shared>,
    endpoint: &Arc<Endpoint>,
    call: u64,
    key: Option<String>,
    capacity_share: f64,
) -> Result<(), std::io::Error> {
    let service_time = service_time(shared, endpoint, capacity_share);
    let (shared, endpoint) = (shared.clone(), endpoint.clone());
    // The connection does not own this task, so the call is executed also if the connection ends before.
    let task = tokio::spawn(async move {
        let worker = endpoint.workers.clone().acquire_owned().await;
        endpoint.dequeue();
        sleep(service_time).await;
        endpoint.wait_out_stall().await;
        drop(worker);
        execute(&shared, &endpoint, call, key.as_deref());
    });
    task.await.map_err(|_| close_connection())
}

/// Draws the service time of a call: at least a third of the mean, rarely more than three times the mean, and longer in
/// inverse proportion to the share of the capacity.
fn service_time(shared: &Shared, endpoint: &Endpoint, capacity_share: f64) -> Duration {
    let mean_s = shared.plan.service_time_ms.get() as f64 / 1_000.0;
    let drawn_s = locked(&endpoint.rng).exponential(mean_s * 2.0 / 3.0);
    Duration::from_secs_f64((mean_s / 3.0 + drawn_s) / capacity_share)
}

/// Records the execution of a call, as a repeat if its idempotency key is remembered in the zone.
fn execute(shared: &Shared, endpoint: &Endpoint, call: u64, key: Option<&str>) {
    let repeat = key.is_some_and(|key| {
        let mut zones = locked(&shared.keys);
        !zones.entry(endpoint.zone.clone()).or_default().insert(key, Instant::now())
    });
    shared.event_log.record(Event::Executed { call, repeat });
}
