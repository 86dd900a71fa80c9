//! Notifications of final outcomes, as received by the scripted platform.

use serde_json::Value;

/// A notification of a message's final outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Notification {
    /// Id of the message, from the key `id`.
    pub message_id: String,
    /// `undeliverable` or `deferred`.
    pub status: String,
}

impl Notification {
    /// Creates the notification that a message is undeliverable.
    pub fn undeliverable(message_id: &str) -> Self {
        Self { message_id: message_id.to_owned(), status: "undeliverable".to_owned() }
    }

    /// Creates the notification that a message was rejected and can be submitted again.
    pub fn deferred(message_id: &str) -> Self {
        Self { message_id: message_id.to_owned(), status: "deferred".to_owned() }
    }
}

impl From<&Value> for Notification {
    fn from(line: &Value) -> Self {
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        Self { message_id: text("id"), status: text("status") }
    }
}

/// A request with notifications, and the status of the response to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationRequest {
    /// The notifications, in the order of their lines.
    pub notifications: Vec<Notification>,
    /// Status of the platform's response.
    pub status: u16,
}

impl NotificationRequest {
    /// Creates a request with one notification.
    pub fn one(notification: Notification, status: u16) -> Self {
        Self { notifications: vec![notification], status }
    }
}
