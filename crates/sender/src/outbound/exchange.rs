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
use super::request::{OutgoingRequest, PreparedRequest, RequestDeadlines};
use super::response::{ReliableResponse, UsedConnection};
use super::routes::Target;
use crate::event::{Call, CallOutcome, MESSAGE_LOG};

/// Maximum time from the first byte of a response to the end of its head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// A call or a health check, with its deadlines and its cancellation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange<'a> {
    route: RouteId,
    request: OutgoingRequest<'a>,
    deadlines: RequestDeadlines,
    cancelled: &'a Notify,
}

/// The result of an exchange.
#[derive(Debug)]
pub(super) struct Exchanged {
    pub(super) result: CallOutcome,
    /// The connection, if it may be reused.
    pub(super) used_connection: Option<UsedConnection>,
}

/// A connection for a request.
#[derive(Debug)]
struct AcquiredConnection {
    connection: Connection,
    /// Whether it is from the pool, and may have been closed by the receiver.
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
        Self { route, request, deadlines: request.deadlines(), cancelled }
    }

    fn message_id(&self) -> Option<&str> {
        self.request.message_id().map(|message_id| &**message_id)
    }
}

impl From<Outcome> for Exchanged {
    /// The result of an exchange whose connection is not reused.
    fn from(outcome: Outcome) -> Self {
        Self { result: outcome.into(), used_connection: None }
    }
}

impl Outbound {
    /// Sends a request within its deadlines and reads the head of the response.
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
        let RequestDeadlines { response_deadline, write_deadline, .. } = exchange.deadlines;
        let connected = tokio::select! {
            biased;
            () = exchange.cancelled.notified() => Err(Interruption::Cancelled),
            connected = self.connect(target.addr, response_deadline.min(write_deadline)) => connected,
        };
        match connected {
            Ok(connection) => Ok(AcquiredConnection { connection, reused: false }),
            // The time was too short for a conclusion about the receiver.
            Err(_) if Instant::now() >= write_deadline => Err(Outcome::NotSent),
            Err(interruption) => Err(outcome_without_response(
                RequestProgress::NotStarted,
                ResponseProgress::Nothing,
                interruption,
            )),
        }
    }

    /// The request, if it may still be sent: since the decision, and while a connection was opened, the receiver may have
    /// begun to drain or to back off, or a deadline may have passed.
    fn prepare(&self, exchange: &Exchange<'_>, target: Target) -> Option<PreparedRequest> {
        let RequestDeadlines { response_deadline, write_deadline, .. } = exchange.deadlines;
        let now = Instant::now();
        let too_late = now >= write_deadline.min(response_deadline);
        if too_late || !self.accepts_calls(exchange.route) {
            return None;
        }
        exchange.request.prepare(target.addr, response_deadline, now).ok()
    }

    /// Sends the request over a connection. Returns `None` if a pooled connection was unusable before a byte was written;
    /// that is no attempt.
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
        // The timer has the resolution of a tick; a response in the same tick is returned before it fires.
        let late =
            progress.first_byte_received_at().is_some_and(|received_at| received_at >= response_deadline);
        let interruption = match response {
            Ok(response) if late => {
                // The backoff in the response applies although the response is late.
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
        if exchange.deadlines.keyed_retry {
            let limit = exchange.deadlines.write_deadline.saturating_duration_since(Instant::now());
            connection.limit_unacknowledged(Some(limit));
        }
    }

    /// The result of a reliable response.
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
        // If a call is rejected before its last byte is written, the rest must not be sent.
        let request_complete = RequestProgress::of(&connection.write_progress) == RequestProgress::Complete;
        let used_connection = request_complete.then_some(UsedConnection { connection, unread_body });
        Exchanged { result, used_connection }
    }
}

/// Writes the request and waits for the head of its response.
///
/// # Errors
///
/// [`Interruption`]: why the response is no longer waited for.
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
        () = progress.write_incomplete_at(exchange.deadlines.write_deadline) => Err(Interruption::TimedOut),
        () = exchange.cancelled.notified() => Err(Interruption::Cancelled),
    }
}
