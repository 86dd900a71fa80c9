//! Requests to discovery: the full endpoint list, and the connection of a watch.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use tokio::time::timeout;

use super::decoder::{DecodeError, MAX_LIST_LEN};
use super::error::WatchError;
use crate::event::EndpointList;
use crate::platform::{Connection, Driver, HttpError, connect};

/// Timeout of the request for the full list at the start of the process.
pub(super) const STARTUP_FETCH_TIMEOUT: Duration = Duration::from_millis(250);

/// The body of a response. Dropping it closes the connection.
#[derive(Debug)]
pub(super) struct StreamingResponse {
    pub(super) body: Incoming,
    /// Held until the body has been read, because dropping the driver closes the connection.
    _driver: Driver,
}

/// Fetches the full list at the start of the process; `None` if the request fails or takes longer than
/// [`STARTUP_FETCH_TIMEOUT`].
pub async fn fetch(addr: SocketAddr) -> Option<EndpointList> {
    let result = timeout(STARTUP_FETCH_TIMEOUT, fetch_full_list(addr, STARTUP_FETCH_TIMEOUT)).await;
    match result.unwrap_or(Err(HttpError::TimedOut.into())) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(%error, "discovery list not received; starting with the configured one");
            None
        }
    }
}

/// Fetches the full list. The response has to begin within `response_timeout`; the caller limits the time for the body.
///
/// # Errors
///
/// [`WatchError`] if the request fails, or the body is not a full list.
pub(super) async fn fetch_full_list(
    addr: SocketAddr,
    response_timeout: Duration,
) -> Result<EndpointList, WatchError> {
    let response = get(addr, "/api/targets", response_timeout).await?;
    let body = Limited::new(response.body, MAX_LIST_LEN).collect().await;
    let body = body.map_err(|_| DecodeError::TooLong)?.to_bytes();
    let list: EndpointList = serde_json::from_slice(&body).map_err(DecodeError::from)?;
    if list.complete { Ok(list) } else { Err(WatchError::Incomplete) }
}

/// Opens a watch for the changes after a revision. The response has to begin within `response_timeout`.
///
/// # Errors
///
/// [`HttpError`] if the request fails.
pub(super) async fn open_watch(
    addr: SocketAddr,
    from_revision: u64,
    response_timeout: Duration,
) -> Result<StreamingResponse, HttpError> {
    let path = format!("/api/targets?watch=1&from={from_revision}");
    get(addr, &path, response_timeout).await
}

/// Sends a GET request on a new connection. The response has to begin within `response_timeout`.
async fn get(
    addr: SocketAddr,
    path: &str,
    response_timeout: Duration,
) -> Result<StreamingResponse, HttpError> {
    timeout(response_timeout, send_get(addr, path)).await.map_err(|_| HttpError::TimedOut)?
}

async fn send_get(addr: SocketAddr, path: &str) -> Result<StreamingResponse, HttpError> {
    let Connection { mut sender, driver } = connect(addr).await?;
    let request = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(HttpError::Status(response.status()));
    }
    Ok(StreamingResponse { body: response.into_body(), _driver: driver })
}
