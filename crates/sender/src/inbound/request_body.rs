//! Receives the body of a submission, up to [`MAX_BODY`] bytes and until a deadline.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rudderspindle_journal::MAX_BODY;
use tokio::time::{Instant, timeout_at};

use super::rejection::RequestRejection;

/// Reads `body`, which announces `body_len` bytes, to its end.
///
/// # Errors
///
/// [`RequestRejection::BodyTooLarge`], [`RequestRejection::IncompleteBody`], or [`RequestRejection::BodyTimeout`] if
/// the body is not complete by `deadline`.
pub(super) async fn read(
    body: Incoming,
    body_len: u32,
    deadline: Instant,
) -> Result<Bytes, RequestRejection> {
    match timeout_at(deadline, collect(Limited::new(body, MAX_BODY), body_len)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestRejection::BodyTooLarge),
        Ok(Err(error)) => Err(RequestRejection::IncompleteBody(error)),
        Err(_) => Err(RequestRejection::BodyTimeout),
    }
}

/// Copies the pieces of `body` into one buffer of `body_len` bytes. Each piece keeps the connection's read buffer in memory, of
/// which it may be a small part, and is dropped at once.
async fn collect(
    mut body: Limited<Incoming>,
    body_len: u32,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let mut received = BytesMut::with_capacity(body_len as usize);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Ok(received.freeze())
}
