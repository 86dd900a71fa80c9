//! Builds the requests that are sent to receivers, and the times that each must keep to.

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

/// What is sent to a receiver.
#[derive(Clone, Copy, Debug)]
pub(super) enum OutgoingRequest<'a> {
    /// A message.
    Call(&'a Call),
    /// The question whether it is up.
    HealthCheck,
}

/// The times that a request must keep to.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimes {
    /// When the response is no longer waited for.
    pub(super) response_deadline: Instant,
    /// When the last byte must have been written: later the request is not sent.
    pub(super) write_deadline: Instant,
    /// Whether it must not arrive after `write_deadline` either: an earlier attempt may have been executed, and the receiver
    /// forgets its idempotency key then.
    pub(super) keyed_retry: bool,
}

/// A request that is ready to be written.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// When the receiver takes the request for given up, and its response is no longer waited for.
    pub(super) response_deadline: Instant,
}

impl OutgoingRequest<'_> {
    /// The times of this request if it begins now.
    pub(super) fn times(&self) -> RequestTimes {
        match self {
            Self::Call(call) => RequestTimes {
                response_deadline: call.response_deadline,
                write_deadline: call.write_deadline,
                keyed_retry: call.idempotency_key.is_some() && call.attempt > 0,
            },
            Self::HealthCheck => {
                let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
                RequestTimes { response_deadline: deadline, write_deadline: deadline, keyed_retry: false }
            }
        }
    }

    /// The message that it carries.
    pub(super) fn message_id(&self) -> Option<&MessageId> {
        match self {
            Self::Call(call) => Some(&call.message_id),
            Self::HealthCheck => None,
        }
    }

    /// Builds the request to a receiver at `addr`. The receiver is told the time left, in whole milliseconds, and that
    /// time is kept to: a later response does not count, as the receiver takes its call for given up then.
    ///
    /// # Errors
    ///
    /// A header that cannot be encoded.
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

/// Rounds down to what `X-Remaining` can express.
fn whole_milliseconds(time: Duration) -> Duration {
    time - Duration::from_nanos(u64::from(time.subsec_nanos()) % 1_000_000)
}
