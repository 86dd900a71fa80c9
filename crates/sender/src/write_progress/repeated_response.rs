//! Removes the copy of a response that is received together with the response to the next request.
//!
//! A receiver may write a response twice. If the copy and the response to the next request are received together, the first
//! of the two does not belong to that request.

use super::response_head::ResponseHead;

/// The beginning of every response.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// The last response of a connection.
#[derive(Debug, Default)]
pub(super) struct RepeatedResponse {
    /// The whole response; empty if there is none, or it was too long to be kept.
    response: Vec<u8>,
}

impl RepeatedResponse {
    /// Keeps the response of which `head` has the beginning.
    pub(super) fn of(head: &ResponseHead) -> Self {
        Self { response: head.whole_response().unwrap_or_default().to_vec() }
    }

    /// The first bytes that are received after a request, without the copy of the last response if another response follows
    /// it.
    pub(super) fn strip_from<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        if self.response.is_empty() {
            return bytes;
        }
        match bytes.strip_prefix(self.response.as_slice()) {
            Some(next) if next.starts_with(VERSION_PREFIX) => next,
            _ => bytes,
        }
    }
}

#[cfg(test)]
mod tests;
