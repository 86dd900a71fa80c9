//! Builds the requests to receivers, with their deadlines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderName, HeaderValue};
use rudderspindle_journal::MessageId;
use tokio::time::Instant;

use crate::event::{Call, IDEMPOTENCY_KEY};

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");

const MESSAGES_PATH: &str = "/v1/messages";
const HEALTH_PATH: &str = "/-/healthy";

/// Maximum time from the start of a health check to its response.
pub(super) const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to a receiver.
#[derive(Clone, Copy, Debug)]
pub(super) enum OutgoingRequest<'a> {
    /// Delivers a message.
    Call(&'a Call),
    /// Checks the receiver's health.
    HealthCheck,
}

/// The times by which a request must be written and its response received.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDeadlines {
    /// When the response must have been received.
    pub(super) response_deadline: Instant,
    /// When the last byte must have been written.
    pub(super) write_deadline: Instant,
    /// Whether this is a retry with an idempotency key. The receiver must not receive such a retry after
    /// `write_deadline`, because it discards the key at that time, and an earlier attempt may have been executed.
    pub(super) keyed_retry: bool,
}

/// A request with all headers, ready to be sent.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// When the remaining time ends that the request announces to the receiver; a later response does not count.
    pub(super) response_deadline: Instant,
}

impl OutgoingRequest<'_> {
    /// The deadlines of this request if it starts now.
    pub(super) fn deadlines(&self) -> RequestDeadlines {
        match self {
            Self::Call(call) => RequestDeadlines {
                response_deadline: call.response_deadline,
                write_deadline: call.write_deadline,
                keyed_retry: call.idempotency_key.is_some() && call.attempt > 0,
            },
            Self::HealthCheck => {
                let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
                RequestDeadlines { response_deadline: deadline, write_deadline: deadline, keyed_retry: false }
            }
        }
    }

    /// Whether the request may be executed more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        match self {
            Self::Call(call) => call.idempotent,
            Self::HealthCheck => true,
        }
    }

    /// The id of the message in the request; `None` for a health check.
    pub(super) fn message_id(&self) -> Option<&MessageId> {
        match self {
            Self::Call(call) => Some(&call.message_id),
            Self::HealthCheck => None,
        }
    }

    /// Builds the request to a receiver at `addr`. A call announces its remaining time in whole milliseconds; a
    /// response after that time does not count, because the receiver treats the call as abandoned.
    ///
    /// # Errors
    ///
    /// [`hyper::http::Error`] if a header value contains bytes that are not allowed.
    pub(super) fn prepare(
        &self,
        addr: SocketAddr,
        response_deadline: Instant,
        now: Instant,
    ) -> hyper::http::Result<PreparedRequest> {
        let host = HeaderValue::from_str(&addr.to_string())?;
        let remaining = whole_milliseconds(response_deadline.saturating_duration_since(now));
        let request = match self {
            Self::Call(call) => call_request(call, host, remaining)?,
            Self::HealthCheck => Request::get(HEALTH_PATH).header(HOST, host).body(Full::default())?,
        };
        Ok(PreparedRequest { request, response_deadline: now + remaining })
    }
}

fn call_request(
    call: &Call,
    host: HeaderValue,
    remaining: Duration,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let mut request = Request::post(MESSAGES_PATH)
        .header(HOST, host)
        .header(X_TXN, &*call.message_id)
        .header(X_REMAINING, format!("{:.3}", remaining.as_secs_f64()));
    if let Some(key) = &call.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    request.body(Full::new(call.body.clone()))
}

/// Rounds down to milliseconds, the resolution of `X-Remaining`.
fn whole_milliseconds(time: Duration) -> Duration {
    time - Duration::from_nanos(u64::from(time.subsec_nanos()) % 1_000_000)
}
