//! Responses with a line of text.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// A response whose body is complete.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// A response with this status and body.
pub(super) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
