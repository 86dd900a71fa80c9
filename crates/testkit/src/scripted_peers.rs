//! Peers of a sender for tests that script each response: a platform, a receiver, and a receiver that writes raw bytes.
//! For tests that play a scenario see [`crate::test_environment`].
//!
//! For tests only: an unexpected event panics with a message.

mod configuration;
mod http_server;
mod malformed_responder;
mod notification;
mod platform;
mod raw_client;
mod receiver;

use std::time::Duration;

use tokio::time::timeout;

pub use configuration::{config, list, member};
pub use malformed_responder::{GOOD, MalformedResponder, RawCall};
pub use notification::{Notification, NotificationRequest};
pub use platform::{FakePlatform, Watch};
pub use raw_client::{connect_from, raw_submission, read_rest_of_response, read_status, read_until_close};
pub use receiver::{Call, Receiver, ScriptedResponse};

/// Maximum time to wait for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for an event for at most 20 s. `event` names it in the message of the panic.
///
/// # Panics
///
/// If the event has not occurred after 20 s.
pub async fn with_timeout<T>(event: &str, future: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, future).await.unwrap_or_else(|_| panic!("no event within 20 s: {event}"))
}
