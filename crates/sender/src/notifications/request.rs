//! A request with notifications: the body has one line of JSON for each notification, and a response with status 204
//! acknowledges all of them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use rudderspindle_journal::{PendingNotification, Status};

use super::QueuedNotification;
use crate::platform::{self, HttpError, connect};

/// A connection on which notifications are sent.
pub(super) type Connection = platform::Connection<Full<Bytes>>;

/// Sends notifications on the idle connection, or on a new one, and waits for the acknowledgement. Returns the
/// connection, which is then idle.
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

/// The body of a request with these notifications.
fn encode(batch: &[QueuedNotification]) -> String {
    let mut lines = String::new();
    for queued in batch {
        lines.push_str(&to_json(&queued.notification).to_string());
        lines.push('\n');
    }
    lines
}

fn to_json(notification: &PendingNotification) -> serde_json::Value {
    let id = &*notification.message_id;
    match notification.status {
        Status::Undeliverable => serde_json::json!({ "id": id, "status": "undeliverable" }),
        Status::Deferred(None) => serde_json::json!({ "id": id, "status": "deferred" }),
        Status::Deferred(Some(ms)) => {
            serde_json::json!({ "id": id, "status": "deferred", "again_ms": ms })
        }
    }
}
