//! The reasons for which a request is not accepted, and the response to each.

use std::error::Error;

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use rudderspindle_policy::interface::Millis;

use super::response::{HttpResponse, text_response};

/// Why a request is not accepted; its display text is the response's body.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestRejection {
    /// hyper lets the header override a Content-Length and reads on behind the last chunk: another request may be
    /// hidden in what the length says is the body. No supported client sends it.
    #[error("Transfer-Encoding")]
    TransferEncoding,
    /// The body is longer than the journal stores.
    #[error("body too large")]
    BodyTooLarge,
    /// The path names no class of the settings.
    #[error("unknown class")]
    UnknownClass,
    /// `X-Txn` is missing, or is no id.
    #[error("bad X-Txn")]
    InvalidMessageId,
    /// `X-Org` names no tenant of the settings.
    #[error("unknown tenant")]
    UnknownTenant,
    /// `X-Route-To` is missing, or names no destination.
    #[error("bad X-Route-To")]
    InvalidDestination,
    /// `X-Remaining` is missing, or is no time.
    #[error("bad X-Remaining")]
    InvalidRemainingTime,
    /// `Idempotency-Key` is too long, or missing where the class needs one.
    #[error("bad Idempotency-Key")]
    InvalidIdempotencyKey,
    /// The connection ended within the body, or its framing is broken.
    #[error("unfinished body")]
    IncompleteBody(#[source] Box<dyn Error + Send + Sync>),
    /// The body was not received in time.
    #[error("unfinished body")]
    BodyTimeout,
    /// There is no capacity for the message now.
    #[error("refused")]
    Overloaded {
        /// When the client may try again, if it is advised.
        retry_after: Option<Millis>,
    },
    /// The engine could not accept the message.
    #[error("failed")]
    Failed,
    /// The destination has no receiver on the list.
    #[error("unknown destination")]
    UnknownDestination,
    /// The process admits no clients, or is about to end.
    #[error("not ready")]
    NotReady,
    /// The readiness check was asked for by another method.
    #[error("GET only")]
    GetOnly,
    /// A message was submitted by another method.
    #[error("POST only")]
    PostOnly,
}

impl RequestRejection {
    /// The response to the client.
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
