//! Errors of requests to discovery and of watches.

use super::decoder::DecodeError;
use crate::platform::HttpError;

/// Why a request to discovery or a watch failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection failed, the response has an unexpected status, or a timeout expired.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server ended the response of the watch.
    #[error("the watch ended")]
    Ended,
    /// The response to a request for the full list is a list of changes: its `complete` is false.
    #[error("the response to a request for the full list contains only changes")]
    Incomplete,
    /// The body of a response cannot be decoded as endpoint lists.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The engine has ended, so lists cannot be delivered.
    #[error("the engine has ended")]
    EngineClosed,
}
