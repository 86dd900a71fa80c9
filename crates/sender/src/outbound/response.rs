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
use super::outcome::{RequestProgress, is_reliable, result_of_response};
use crate::event::CallOutcome;

/// Maximum time for the rest of a response; after that its connection is closed.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A response whose result is reliable.
#[derive(Debug)]
pub(super) struct ReliableResponse {
    pub(super) result: CallOutcome,
    /// The body, if it has not been read.
    pub(super) unread_body: Option<Incoming>,
}

/// A connection after a response on it.
#[derive(Debug)]
pub(super) struct UsedConnection {
    pub(super) connection: Connection,
    /// The body, if it has not been read.
    pub(super) unread_body: Option<Incoming>,
}

impl ReliableResponse {
    /// Interprets a response; `None` if it is not reliable. An outcome without execution counts only if the response is
    /// well-formed to its end.
    pub(super) async fn read(
        response: Response<Incoming>,
        request: RequestProgress,
        deadline: Instant,
    ) -> Option<Self> {
        let result = result_of_response(response.status(), response.headers());
        if !is_reliable(request, result.outcome) {
            return None;
        }
        let body = response.into_body();
        if result.outcome.possibly_executed() {
            return Some(Self { result, unread_body: Some(body) });
        }
        drain(body, deadline).await.then_some(Self { result, unread_body: None })
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

/// Reads a body to its end; returns `false` if it is too long or takes too long.
async fn drain(body: Incoming, deadline: Instant) -> bool {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return false;
    }
    let deadline = deadline.min(Instant::now() + RESPONSE_BODY_TIMEOUT);
    let read = timeout_at(deadline, Limited::new(body, MAX_BODY).collect()).await;
    matches!(read, Ok(Ok(_)))
}
