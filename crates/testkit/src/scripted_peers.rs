//! Peers for tests that script every response, call by call: a platform, a receiver, and a receiver that writes raw
//! bytes. For tests that follow a scenario see [`crate::test_environment`].
//!
//! Made for tests: what should not happen panics with a message.

mod configuration;
mod http_server;
mod malformed_responder;
mod platform;
mod raw_client;
mod receiver;

use std::time::Duration;

use tokio::time::timeout;

pub use configuration::{config, list, member};
pub use malformed_responder::{GOOD, MalformedResponder};
pub use platform::FakePlatform;
pub use raw_client::{connect_from, raw_submission, rest, rest_of_answer, status};
pub use receiver::{Act, Call, Receiver};

/// Time after which an awaited event is taken to be missing.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits something that should come soon.
///
/// # Panics
///
/// Panics with `what` after 20 s.
pub async fn soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, future).await.unwrap_or_else(|_| panic!("in vain: {what}"))
}
