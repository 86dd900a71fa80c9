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

/// How long the response to a health check is waited for.
pub(super) const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to a receiver.
#[derive(Clone, Copy, Debug)]
pub(super) enum OutgoingRequest<'a> {
    /// A message.
    Call(&'a Call),
    /// A health check.
    HealthCheck,
}

/// The deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDeadlines {
    /// When the response must have arrived.
    pub(super) response_deadline: Instant,
    /// When the last byte must have been written.
    pub(super) write_deadline: Instant,
    /// Whether the request must also not arrive after `write_deadline`: an earlier attempt may have been executed, and the
    /// receiver discards its idempotency key then.
    pub(super) keyed_retry: bool,
}

/// A request that is ready to be sent.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// When the time announced to the receiver is over, and its response no longer counts.
    pub(super) response_deadline: Instant,
}

impl OutgoingRequest<'_> {
    /// The deadlines of this request if it begins now.
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

    /// The id of the message in the request.
    pub(super) fn message_id(&self) -> Option<&MessageId> {
        match self {
            Self::Call(call) => Some(&call.message_id),
            Self::HealthCheck => None,
        }
    }

    /// Builds the request to a receiver at `addr`. It announces the remaining time in whole milliseconds; a later response
    /// does not count, as the receiver treats the call as abandoned.
    ///
    /// # Errors
    ///
    /// An error if a header cannot be encoded.
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

/// Rounds down to the resolution of `X-Remaining`.
fn whole_milliseconds(time: Duration) -> Duration {
    time - Duration::from_nanos(u64::from(time.subsec_nanos()) % 1_000_000)
}
