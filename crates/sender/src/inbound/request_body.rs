//! Receives the body of a submission, up to [`MAX_BODY`] bytes and until a deadline.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rudderspindle_journal::MAX_BODY;
use tokio::time::{Instant, timeout_at};

use super::rejection::RequestRejection;

/// Reads `body` to its end.
///
/// # Errors
///
/// [`RequestRejection::BodyTooLarge`], [`RequestRejection::IncompleteBody`], or [`RequestRejection::BodyTimeout`] if
/// the body is not complete by `deadline`.
pub(super) async fn read(body: Incoming, deadline: Instant) -> Result<Bytes, RequestRejection> {
    match timeout_at(deadline, Limited::new(body, MAX_BODY).collect()).await {
        // The body is copied because one that was received in one piece would keep the connection's whole buffer in
        // memory.
        Ok(Ok(body)) => Ok(Bytes::copy_from_slice(&body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestRejection::BodyTooLarge),
        Ok(Err(error)) => Err(RequestRejection::IncompleteBody(error)),
        Err(_) => Err(RequestRejection::BodyTimeout),
    }
}
