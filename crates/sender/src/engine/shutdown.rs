//! The graceful shutdown of the engine: how long attempts may start, and when the engine can stop.

use std::time::Duration;

use tokio::time::Instant;

/// How long after the request to stop attempts may still start; later attempts may not finish in time.
const ATTEMPT_PERIOD: Duration = Duration::from_millis(2_000);
/// Minimum duration of the shutdown if clients have no other process to connect to, because some of them still connect
/// after the request to stop.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(600);
/// Maximum duration of the shutdown. Calls in flight at its end stay in the journal as attempts that may have been
/// executed.
const MAX_SHUTDOWN_DURATION: Duration = Duration::from_millis(3_300);

/// The state of the shutdown: whether and when it was requested.
#[derive(Debug)]
pub(super) struct Shutdown {
    requested_at: Option<Instant>,
    min_duration: Duration,
}

/// The work that the engine has not finished.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemainingWork {
    /// Number of calls in flight.
    pub calls: usize,
    /// Whether the platform has not acknowledged all notifications.
    pub has_notifications: bool,
    /// Number of tracked messages, which are not complete.
    pub messages: usize,
    /// Number of open connections of clients.
    pub client_connections: usize,
}

impl Shutdown {
    /// Creates the state before a shutdown. `shared_listener` means that clients can connect to a successor at once.
    pub fn new(shared_listener: bool) -> Self {
        let min_duration = if shared_listener { Duration::ZERO } else { MIN_SHUTDOWN_DURATION };
        Self { requested_at: None, min_duration }
    }

    /// Starts the shutdown. Further requests do not restart it.
    pub fn request(&mut self, now: Instant) {
        self.requested_at = self.requested_at.or(Some(now));
    }

    /// Whether the shutdown has started.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether attempts may start: always before a shutdown, and for [`ATTEMPT_PERIOD`] after its request.
    pub fn allows_attempts(&self, now: Instant) -> bool {
        self.requested_at.is_none_or(|requested_at| now - requested_at < ATTEMPT_PERIOD)
    }

    /// Whether the engine can stop: the shutdown has started, and either the remaining work is finished as far as it
    /// can be, or [`MAX_SHUTDOWN_DURATION`] has passed.
    pub fn is_complete(&self, now: Instant, remaining: RemainingWork) -> bool {
        let Some(elapsed) = self.requested_at.map(|requested_at| now - requested_at) else { return false };
        let is_idle = remaining.calls == 0 && !remaining.has_notifications;
        let is_done = is_idle && (remaining.messages == 0 || elapsed >= ATTEMPT_PERIOD);
        // A client whose connection closes during a request has to repeat the request on another sender.
        let no_connections = remaining.client_connections == 0;
        elapsed >= MAX_SHUTDOWN_DURATION || (is_done && no_connections && elapsed >= self.min_duration)
    }
}
