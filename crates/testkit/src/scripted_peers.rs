//! Peers for tests that script every response, call by call: a platform, a receiver, and a receiver that writes raw
//! bytes. For tests that follow a scenario see [`crate::test_environment`].
//!
//! Made for tests: an unexpected event panics with a message.

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
pub use raw_client::{connect_from, raw_submission, rest, rest_of_answer, status};
pub use receiver::{Call, Receiver, ScriptedResponse};

/// How long an event is awaited.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits an event for at most 20 s.
///
/// # Panics
///
/// Panics with `what` after that time.
pub async fn with_timeout<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, future).await.unwrap_or_else(|_| panic!("timed out: {what}"))
}
