//! Maps the outcome of a stream to the delivery outcome of its message.
//!
//! `docs/design/http2.md` has the complete table.

use std::time::Duration;

use crate::retry_after::MAX_RETRY_AFTER;

#[cfg(test)]
mod tests;

/// `RST_STREAM` error code: the stream was closed before any processing (RFC 9113, 8.7).
const REFUSED_STREAM: u32 = 0x7;

/// How the stream of a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// The head of the final response arrived.
    Response {
        /// HTTP status code, 100 to 999; interim (1xx) responses are skipped.
        status: u16,
        /// Delay in the `Retry-After` header; `None` if the header is missing or cannot be parsed.
        retry_after: Option<Duration>,
    },
    /// The gateway reset the stream.
    Reset {
        /// Error code of the `RST_STREAM` frame (RFC 9113, 7).
        error_code: u32,
    },
    /// The gateway sent a GOAWAY whose last stream identifier is below that of this stream.
    GoAway,
    /// The connection ended, or the peer violated the protocol.
    ConnectionLost,
    /// A PING on the connection was not answered in time.
    PingTimeout,
    /// A deadline of the call passed.
    DeadlineExceeded,
    /// No stream was opened: no connection was established, or none had a free slot.
    NotOpened,
}

/// What happened to a message, as derived from the outcome of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The message was executed exactly once.
    Delivered,
    /// The gateway rejected the message without executing it, and all traffic to the endpoint must back off.
    Rejected {
        /// Duration of the backoff, at most [`MAX_RETRY_AFTER`].
        retry_after: Duration,
    },
    /// The message was not executed and will not be: it can be retried immediately at any endpoint.
    NotExecuted,
    /// The message was possibly executed; the gateway responded.
    Failed,
    /// The message was possibly executed; the stream or its connection was aborted.
    Interrupted,
    /// The message was possibly executed, or may still be; the gateway did not respond.
    NoResponse,
    /// The message cannot be delivered and must not be retried.
    PermanentFailure,
}

impl StreamOutcome {
    /// Returns the delivery outcome of the message.
    ///
    /// `request_complete` is whether the last byte of the request was handed to the connection. Gateways execute a
    /// message only after its last byte has arrived, so an incomplete request was never executed.
    pub fn delivery(self, request_complete: bool) -> DeliveryOutcome {
        match self {
            Self::Response { status, retry_after } => {
                response_delivery(status, retry_after, request_complete)
            }
            Self::Reset { error_code: REFUSED_STREAM } | Self::GoAway | Self::NotOpened => {
                DeliveryOutcome::NotExecuted
            }
            _ if !request_complete => DeliveryOutcome::NotExecuted,
            Self::Reset { .. } | Self::ConnectionLost => DeliveryOutcome::Interrupted,
            Self::PingTimeout | Self::DeadlineExceeded => DeliveryOutcome::NoResponse,
        }
    }
}

/// The delivery outcome of a message whose call ended with a response.
fn response_delivery(status: u16, retry_after: Option<Duration>, request_complete: bool) -> DeliveryOutcome {
    match status {
        200..=299 if request_complete => DeliveryOutcome::Delivered,
        // The gateway accepted an incomplete message, with an unknown effect.
        200..=299 => DeliveryOutcome::Failed,
        429 | 503 => {
            DeliveryOutcome::Rejected { retry_after: retry_after.unwrap_or_default().min(MAX_RETRY_AFTER) }
        }
        // Misdirected Request (RFC 9110, 15.5.20): another endpoint may accept it.
        421 => DeliveryOutcome::NotExecuted,
        // 404 and 410: the recipient no longer exists (RFC 8030, 7.3). The other codes report errors of the request.
        400..=499 => DeliveryOutcome::PermanentFailure,
        _ if request_complete => DeliveryOutcome::Failed,
        _ => DeliveryOutcome::NotExecuted,
    }
}
