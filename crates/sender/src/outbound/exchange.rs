//! Sends one request over a connection and determines its result from what is received.

use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use rudderspindle_policy::interface::{Outcome, RouteId};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::Outbound;
use super::connection::Connection;
use super::outcome::{
    Interruption, RequestProgress, ResponseProgress, outcome_without_response, result_of_response,
};
use super::request::{OutgoingRequest, PreparedRequest, RequestTimes};
use super::response::{ReliableResponse, UsedConnection};
use super::routes::Target;
use crate::event::{Call, CallOutcome, MESSAGE_LOG};

/// How long the rest of a response's head may take after its first byte: it is written at once.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// A call or a health check, and what bounds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange<'a> {
    route: RouteId,
    request: OutgoingRequest<'a>,
    times: RequestTimes,
    cancelled: &'a Notify,
}

/// What came of an exchange.
#[derive(Debug)]
pub(super) struct Exchanged {
    pub(super) result: CallOutcome,
    /// The connection, if it may be used again.
    pub(super) used_connection: Option<UsedConnection>,
}

/// A connection to send a request over.
#[derive(Debug)]
struct AcquiredConnection {
    connection: Connection,
    /// Whether it was idle in the pool, and may turn out to have been closed by the receiver.
    reused: bool,
}

impl<'a> Exchange<'a> {
    /// A call that ends early when `cancelled` is notified.
    pub(super) fn call(call: &'a Call, cancelled: &'a Notify) -> Self {
        Self::new(call.route, OutgoingRequest::Call(call), cancelled)
    }

    /// A health check that ends early when `cancelled` is notified.
    pub(super) fn health_check(route: RouteId, cancelled: &'a Notify) -> Self {
        Self::new(route, OutgoingRequest::HealthCheck, cancelled)
    }

    fn new(route: RouteId, request: OutgoingRequest<'a>, cancelled: &'a Notify) -> Self {
        Self { route, request, times: request.times(), cancelled }
    }

    fn message_id(&self) -> Option<&str> {
        self.request.message_id().map(|message_id| &**message_id)
    }
}

impl From<Outcome> for Exchanged {
    /// An exchange whose connection is not used again.
    fn from(outcome: Outcome) -> Self {
        Self { result: outcome.into(), used_connection: None }
    }
}

impl Outbound {
    /// Sends a request within its times and reads the head of its response.
    pub(super) async fn exchange(&self, exchange: &Exchange<'_>) -> Exchanged {
        loop {
            let Some(target) = self.routes.target(exchange.route) else { return Outcome::NotSent.into() };
            let acquired = match self.acquire_connection(exchange, target).await {
                Ok(acquired) => acquired,
                Err(outcome) => return outcome.into(),
            };
            let Some(prepared) = self.prepare(exchange, target) else {
                self.return_to_pool(exchange.route, acquired.connection);
                return Outcome::NotSent.into();
            };
            if let Some(exchanged) = self.exchange_over(acquired, exchange, target, prepared).await {
                return exchanged;
            }
        }
    }

    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// The outcome of the exchange if there is no connection for it.
    async fn acquire_connection(
        &self,
        exchange: &Exchange<'_>,
        target: Target,
    ) -> Result<AcquiredConnection, Outcome> {
        if let Some(connection) = self.idle.take(exchange.route) {
            return Ok(AcquiredConnection { connection, reused: true });
        }
        let RequestTimes { response_deadline, write_deadline, .. } = exchange.times;
        let connected = tokio::select! {
            biased;
            () = exchange.cancelled.notified() => Err(Interruption::Cancelled),
            connected = self.connect(target.addr, response_deadline.min(write_deadline)) => connected,
        };
        match connected {
            Ok(connection) => Ok(AcquiredConnection { connection, reused: false }),
            // That it had so little time says nothing of the receiver.
            Err(_) if Instant::now() >= write_deadline => Err(Outcome::NotSent),
            Err(interruption) => Err(outcome_without_response(
                RequestProgress::NotStarted,
                ResponseProgress::Nothing,
                interruption,
            )),
        }
    }

    /// The request, if it may still be sent: since the decision its receiver may have started to drain or to back off, or
    /// its time may have passed, above all while connections were opened or turned out to be closed.
    fn prepare(&self, exchange: &Exchange<'_>, target: Target) -> Option<PreparedRequest> {
        let RequestTimes { response_deadline, write_deadline, .. } = exchange.times;
        let now = Instant::now();
        let too_late = now >= write_deadline.min(response_deadline);
        if too_late || !self.accepts_calls(exchange.route) {
            return None;
        }
        exchange.request.prepare(target.addr, response_deadline, now).ok()
    }

    /// Sends the request over a connection. Returns none if that was a pooled one which turned out to be unusable
    /// before a byte was written, which is no attempt yet.
    async fn exchange_over(
        &self,
        acquired: AcquiredConnection,
        exchange: &Exchange<'_>,
        target: Target,
        prepared: PreparedRequest,
    ) -> Option<Exchanged> {
        let AcquiredConnection { mut connection, reused } = acquired;
        let response_deadline = prepared.response_deadline;
        let progress = connection.write_progress.clone();
        self.track_request(exchange, &mut connection);
        let response = send(&mut connection, exchange, prepared).await;
        // The timer fires up to a tick late, and a response received in that tick is returned ahead of it.
        let late =
            progress.first_byte_received_at().is_some_and(|received_at| received_at >= response_deadline);
        let interruption = match response {
            Ok(response) if late => {
                // What it says of the receiver holds all the same.
                let result = result_of_response(response.status(), response.headers());
                self.apply_retry_after(target.backoff_scope, result.retry_after);
                Interruption::TimedOut
            }
            Ok(response) => {
                let request_progress = RequestProgress::of(&progress);
                match ReliableResponse::read(response, request_progress, response_deadline).await {
                    Some(response) => {
                        return Some(self.complete(exchange, target, connection, reused, response));
                    }
                    None => Interruption::ConnectionBroken,
                }
            }
            Err(interruption) => interruption,
        };
        let sent = RequestProgress::of(&progress);
        let received = if late { ResponseProgress::Nothing } else { ResponseProgress::of(&progress) };
        tracing::debug!(target: MESSAGE_LOG, message_id = exchange.message_id(), ?interruption, reused, ?sent, ?received,
            "attempt ended without a usable response");
        let no_attempt =
            reused && interruption == Interruption::ConnectionBroken && sent == RequestProgress::NotStarted;
        (!no_attempt).then(|| outcome_without_response(sent, received, interruption).into())
    }

    /// Starts tracking the progress of a request that is about to be written.
    fn track_request(&self, exchange: &Exchange<'_>, connection: &mut Connection) {
        connection.write_progress.reset();
        if matches!(exchange.request, OutgoingRequest::Call(_)) {
            connection.write_progress.count_when_complete(self.metrics.clone());
        }
        if exchange.times.keyed_retry {
            let limit = exchange.times.write_deadline.saturating_duration_since(Instant::now());
            connection.limit_unacknowledged(Some(limit));
        }
    }

    /// The result of a response that is relied on.
    fn complete(
        &self,
        exchange: &Exchange<'_>,
        target: Target,
        connection: Connection,
        reused: bool,
        response: ReliableResponse,
    ) -> Exchanged {
        let ReliableResponse { result, unread_body } = response;
        tracing::debug!(target: MESSAGE_LOG, message_id = exchange.message_id(), addr = %target.addr, reused,
            outcome = ?result.outcome, retry_after_ms = result.retry_after, "response received");
        self.apply_retry_after(target.backoff_scope, result.retry_after);
        // Nothing more is sent of a call that was rejected before its last byte was.
        let request_complete = RequestProgress::of(&connection.write_progress) == RequestProgress::Complete;
        let used_connection = request_complete.then_some(UsedConnection { connection, unread_body });
        Exchanged { result, used_connection }
    }
}

/// Writes the request and waits for the head of its response.
///
/// # Errors
///
/// Why it is no longer waited for.
async fn send(
    connection: &mut Connection,
    exchange: &Exchange<'_>,
    prepared: PreparedRequest,
) -> Result<Response<Incoming>, Interruption> {
    let progress = connection.write_progress.clone();
    tokio::select! {
        biased;
        response = connection.sender.send_request(prepared.request) => {
            response.map_err(|_| Interruption::ConnectionBroken)
        }
        () = progress.response_head_overdue(RESPONSE_HEAD_TIMEOUT) => Err(Interruption::ConnectionBroken),
        () = sleep_until(prepared.response_deadline) => Err(Interruption::TimedOut),
        () = progress.write_incomplete_at(exchange.times.write_deadline) => Err(Interruption::TimedOut),
        () = exchange.cancelled.notified() => Err(Interruption::Cancelled),
    }
}
