//! Sends one request over a connection and determines the outcome from the bytes that are received.

use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use rudderspindle_policy::interface::{Outcome, RouteId};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::Outbound;
use super::connection::Connection;
use super::connection_acquisition::AcquiredConnection;
use super::outcome::{
    Interruption, RequestProgress, ResponseProgress, call_outcome_of_response, outcome_without_response,
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
    pub(super) route: RouteId,
    pub(super) request: OutgoingRequest<'a>,
    pub(super) deadlines: RequestDeadlines,
    pub(super) cancelled: &'a Notify,
}

/// The outcome of an exchange, with its connection.
#[derive(Debug)]
pub(super) struct ExchangeOutcome {
    pub(super) call_outcome: CallOutcome,
    /// The connection; `None` if it must not be reused.
    pub(super) used_connection: Option<UsedConnection>,
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

impl From<Outcome> for ExchangeOutcome {
    /// The outcome of an exchange whose connection is not reused.
    fn from(outcome: Outcome) -> Self {
        Self { call_outcome: outcome.into(), used_connection: None }
    }
}

impl Outbound {
    /// Sends a request within its deadlines and reads the head of the response. Another connection is tried if a
    /// pooled one turns out to be closed, or if the address of the receiver has changed.
    pub(super) async fn exchange(&self, exchange: &Exchange<'_>) -> ExchangeOutcome {
        loop {
            let Some(target) = self.routes.target(exchange.route) else { return Outcome::NotSent.into() };
            let acquired = match self.acquire_connection(exchange, target).await {
                Ok(acquired) => acquired,
                Err(outcome) => return outcome.into(),
            };
            // Another receiver may have the address by now.
            if !self.routes.address_matches(exchange.route, Some(target.addr)) {
                self.return_to_pool(exchange.route, acquired.connection);
                continue;
            }
            let Some(prepared) = self.prepare(exchange, target) else {
                self.return_to_pool(exchange.route, acquired.connection);
                return Outcome::NotSent.into();
            };
            if let Some(exchange_outcome) = self.exchange_over(acquired, exchange, target, prepared).await {
                return exchange_outcome;
            }
        }
    }

    /// Builds the request; `None` if it must no longer be sent, because since the engine started the call the receiver
    /// has begun to drain or has requested a backoff, or a deadline has passed.
    fn prepare(&self, exchange: &Exchange<'_>, target: Target) -> Option<PreparedRequest> {
        let RequestDeadlines { response_deadline, write_deadline, .. } = exchange.deadlines;
        let now = Instant::now();
        let too_late = now >= write_deadline.min(response_deadline);
        if too_late || !self.accepts_calls(exchange.route) {
            return None;
        }
        exchange.request.prepare(target.addr, response_deadline, now).ok()
    }

    /// Sends the request over a connection. Returns `None` if a pooled connection broke before a byte of the request
    /// was written: the request is then sent over another connection, and this does not count as an attempt.
    async fn exchange_over(
        &self,
        acquired: AcquiredConnection,
        exchange: &Exchange<'_>,
        target: Target,
        prepared: PreparedRequest,
    ) -> Option<ExchangeOutcome> {
        let AcquiredConnection { mut connection, reused } = acquired;
        let response_deadline = prepared.response_deadline;
        let progress = connection.write_progress.clone();
        self.track_request(exchange, &mut connection);
        let response = send(&mut connection, exchange, prepared).await;
        // The runtime's timers have the resolution of one tick: a response that is read after the deadline, but in the
        // same tick, is returned before the timer fires.
        let late =
            progress.first_byte_received_at().is_some_and(|received_at| received_at >= response_deadline);
        let interruption = match response {
            Ok(response) if late => {
                // A backoff that a late response requests still applies.
                let call_outcome = call_outcome_of_response(response.status(), response.headers());
                self.apply_retry_after(target.backoff_scope, call_outcome.retry_after);
                Interruption::TimedOut
            }
            Ok(response) => {
                let request_progress = RequestProgress::of(&progress);
                match ReliableResponse::read(response, request_progress, response_deadline).await {
                    Some(response) => {
                        return Some(self.finish_exchange(exchange, target, connection, reused, response));
                    }
                    None => Interruption::ConnectionBroken,
                }
            }
            Err(interruption) => interruption,
        };
        let request_progress = RequestProgress::of(&progress);
        let response_progress =
            if late { ResponseProgress::Nothing } else { ResponseProgress::of(&progress) };
        tracing::debug!(target: MESSAGE_LOG, message_id = exchange.message_id(), ?interruption, reused,
            sent = ?request_progress, received = ?response_progress,
            "attempt ended without a reliable response");
        let connection_was_stale = reused
            && interruption == Interruption::ConnectionBroken
            && request_progress == RequestProgress::NotStarted;
        (!connection_was_stale)
            .then(|| outcome_without_response(request_progress, response_progress, interruption).into())
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

    /// Applies the backoff of a reliable response, and returns the outcome of the exchange.
    fn finish_exchange(
        &self,
        exchange: &Exchange<'_>,
        target: Target,
        mut connection: Connection,
        reused: bool,
        response: ReliableResponse,
    ) -> ExchangeOutcome {
        let ReliableResponse { call_outcome, unread_body } = response;
        tracing::debug!(target: MESSAGE_LOG, message_id = exchange.message_id(), addr = %target.addr, reused,
            outcome = ?call_outcome.outcome, retry_after_ms = call_outcome.retry_after, "response received");
        self.apply_retry_after(target.backoff_scope, call_outcome.retry_after);
        // If the response is received before the last byte of the request is written, the connection is closed, so that
        // the rest of the request is not sent.
        let request_complete = RequestProgress::of(&connection.write_progress) == RequestProgress::Complete;
        // If the response is a copy, the call may be in progress, and is given up by closing the connection.
        let may_be_copy = connection.record_outcome(call_outcome.outcome);
        let is_reusable = request_complete && !may_be_copy;
        let used_connection = is_reusable.then_some(UsedConnection { connection, unread_body });
        ExchangeOutcome { call_outcome, used_connection }
    }
}

/// Writes the request and waits for the head of its response.
///
/// # Errors
///
/// [`Interruption`] if the head of the response is not received.
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
