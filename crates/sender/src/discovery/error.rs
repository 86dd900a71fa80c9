//! Errors of requests to discovery and of watches.

use super::decoder::DecodeError;
use crate::platform::HttpError;

/// Why a request to discovery or a watch failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection failed, or the response did not arrive in time.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server closed the watch.
    #[error("the watch ended")]
    Ended,
    /// The response to a request for the full list has only changes.
    #[error("the list is not complete")]
    Incomplete,
    /// The body is not an endpoint list.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The engine has ended.
    #[error("the engine has ended")]
    EngineClosed,
}
