//! The reasons for rejecting a request, and the response to each.

use std::error::Error;

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use rudderspindle_policy::interface::Millis;

use super::response::{HttpResponse, text_response};

/// Why a request is rejected. The display text is the body of the response.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestRejection {
    /// The request has a `Transfer-Encoding`. hyper uses this header in preference to `Content-Length`, so that a
    /// request could be smuggled in the body. No supported client sends the header.
    #[error("Transfer-Encoding")]
    TransferEncoding,
    /// The body is longer than [`rudderspindle_journal::MAX_BODY`].
    #[error("body too large")]
    BodyTooLarge,
    /// The path does not name a class of the settings.
    #[error("unknown class")]
    UnknownClass,
    /// `X-Txn` is missing or invalid.
    #[error("bad X-Txn")]
    InvalidMessageId,
    /// `X-Org` does not name a tenant of the settings.
    #[error("unknown tenant")]
    UnknownTenant,
    /// `X-Route-To` is missing or does not name a destination.
    #[error("bad X-Route-To")]
    InvalidDestination,
    /// `X-Remaining` is missing or not a time.
    #[error("bad X-Remaining")]
    InvalidRemainingTime,
    /// `Idempotency-Key` is too long, or missing although the class requires one.
    #[error("bad Idempotency-Key")]
    InvalidIdempotencyKey,
    /// The connection ended within the body, or the framing of the body is invalid.
    #[error("unfinished body")]
    IncompleteBody(#[source] Box<dyn Error + Send + Sync>),
    /// The body was not complete by the deadline of the request.
    #[error("unfinished body")]
    BodyTimeout,
    /// There is no capacity for the message at present.
    #[error("refused")]
    Overloaded {
        /// Milliseconds after which the client may retry; `None` if the response has no `Retry-After`.
        retry_after: Option<Millis>,
    },
    /// The message cannot be delivered.
    #[error("failed")]
    Failed,
    /// The destination has no receiver in the endpoint list.
    #[error("unknown destination")]
    UnknownDestination,
    /// The process does not accept clients, because it is drained or stopping.
    #[error("not ready")]
    NotReady,
    /// The readiness check was requested by another method than GET.
    #[error("GET only")]
    GetOnly,
    /// A message was submitted by another method than POST.
    #[error("POST only")]
    PostOnly,
}

impl RequestRejection {
    /// Converts the rejection to the response that is sent to the client.
    pub(super) fn into_response(self) -> HttpResponse {
        let mut response = text_response(self.status(), self.to_string());
        if let Self::Overloaded { retry_after: Some(retry_after) } = self
            && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0))
        {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::TransferEncoding
            | Self::InvalidMessageId
            | Self::UnknownTenant
            | Self::InvalidDestination
            | Self::InvalidRemainingTime
            | Self::InvalidIdempotencyKey
            | Self::IncompleteBody(_) => StatusCode::BAD_REQUEST,
            Self::UnknownClass | Self::UnknownDestination => StatusCode::NOT_FOUND,
            Self::GetOnly | Self::PostOnly => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Failed => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Overloaded { .. } | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
