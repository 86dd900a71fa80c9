//! HTTP responses with a text as their body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// A response to a client, with its complete body in memory.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// Creates a response with this status and body.
pub(super) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
