//! Reads the response to a request, and returns its connection to the pool.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::{Body, Incoming};
use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::interface::RouteId;
use tokio::time::{Instant, timeout, timeout_at};

use super::Outbound;
use super::connection::Connection;
use super::outcome::{RequestProgress, call_outcome_of_response, is_reliable};
use crate::event::CallOutcome;

/// Maximum time to read the rest of a response; a connection that takes longer is closed.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A response that determines the outcome of its call (see [`is_reliable`]).
#[derive(Debug)]
pub(super) struct ReliableResponse {
    pub(super) call_outcome: CallOutcome,
    /// The body of the response; `None` if it has been read.
    pub(super) unread_body: Option<Incoming>,
}

/// A connection on which a response has been received.
#[derive(Debug)]
pub(super) struct UsedConnection {
    pub(super) connection: Connection,
    /// The body of the response; `None` if it has been read.
    pub(super) unread_body: Option<Incoming>,
}

impl ReliableResponse {
    /// Determines the outcome from a response; `None` if the response is not reliable. A response which reports that
    /// the call was not executed counts only if its body is complete and well-formed; the body is read until `deadline`
    /// at the latest.
    pub(super) async fn read(
        response: Response<Incoming>,
        request: RequestProgress,
        deadline: Instant,
    ) -> Option<Self> {
        let call_outcome = call_outcome_of_response(response.status(), response.headers());
        if !is_reliable(request, call_outcome.outcome) {
            return None;
        }
        let body = response.into_body();
        if call_outcome.outcome.possibly_executed() {
            return Some(Self { call_outcome, unread_body: Some(body) });
        }
        drain(body, deadline).await.then_some(Self { call_outcome, unread_body: None })
    }
}

impl Outbound {
    /// Reads the rest of a response, and returns its connection to the pool.
    pub(super) async fn recycle(&self, route: RouteId, used: Option<UsedConnection>) {
        let Some(UsedConnection { mut connection, unread_body }) = used else { return };
        let drained = match unread_body {
            Some(body) => drain(body, Instant::now() + RESPONSE_BODY_TIMEOUT).await,
            None => true,
        };
        if drained && matches!(timeout(RESPONSE_BODY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
            self.return_to_pool(route, connection);
        }
    }
}

/// Reads a body to its end. Returns `false` if the body is malformed, longer than [`MAX_BODY`], or not complete by
/// `deadline` or within [`RESPONSE_BODY_TIMEOUT`].
async fn drain(body: Incoming, deadline: Instant) -> bool {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return false;
    }
    let deadline = deadline.min(Instant::now() + RESPONSE_BODY_TIMEOUT);
    let drained = timeout_at(deadline, Limited::new(body, MAX_BODY).collect()).await;
    matches!(drained, Ok(Ok(_)))
}
