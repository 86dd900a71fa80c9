//! A request with notifications: one line of JSON for each, acknowledged by status 204.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use rudderspindle_journal::{PendingNotification, Status};

use super::QueuedNotification;
use crate::platform::{self, HttpError, connect};

/// A connection that notifications are sent on.
pub(super) type Connection = platform::Connection<Full<Bytes>>;

/// Sends notifications on the idle connection or a new one, and waits for the acknowledgement. Returns the connection,
/// which is idle again.
///
/// # Errors
///
/// [`HttpError`] if the notifications were not acknowledged.
pub(super) async fn post(
    addr: SocketAddr,
    idle_connection: Option<Connection>,
    batch: &[QueuedNotification],
) -> Result<Connection, HttpError> {
    let mut connection = match idle_connection.filter(|connection| !connection.sender.is_closed()) {
        Some(connection) => connection,
        None => connect(addr).await?,
    };
    connection.sender.ready().await?;
    let request = Request::post("/reports").header(header::HOST, addr.to_string());
    let response = connection.sender.send_request(request.body(Full::from(encode(batch)))?).await?;
    let status = response.status();
    if status != StatusCode::NO_CONTENT {
        return Err(HttpError::Status(status));
    }
    response.into_body().collect().await?;
    Ok(connection)
}

/// The body of a request.
fn encode(batch: &[QueuedNotification]) -> String {
    let mut lines = String::new();
    for pending in batch {
        lines.push_str(&line(&pending.notification).to_string());
        lines.push('\n');
    }
    lines
}

fn line(notification: &PendingNotification) -> serde_json::Value {
    let id = &*notification.message_id;
    match notification.status {
        Status::Undeliverable => serde_json::json!({ "id": id, "status": "undeliverable" }),
        Status::Deferred(None) => serde_json::json!({ "id": id, "status": "deferred" }),
        Status::Deferred(Some(ms)) => {
            serde_json::json!({ "id": id, "status": "deferred", "again_ms": ms })
        }
    }
}
