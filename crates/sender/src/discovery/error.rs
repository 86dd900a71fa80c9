//! Why a request to discovery or a watch failed.

use super::decoder::DecodeError;
use crate::platform::HttpError;

/// The end of a request to discovery, or of a watch.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection failed, or the response did not come in time.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server closed the watch.
    #[error("the watch ended")]
    Ended,
    /// A full list was requested, and only changes came.
    #[error("the list is not complete")]
    Incomplete,
    /// The body is not an endpoint list.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The engine has ended, and takes no further lists.
    #[error("the engine has ended")]
    EngineClosed,
}
