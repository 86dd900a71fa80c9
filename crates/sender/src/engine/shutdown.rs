//! The graceful shutdown of the engine: until when attempts start, and when the engine can stop.

use std::time::Duration;

use tokio::time::Instant;

/// How long after the request to stop attempts may still start: later ones may not finish.
const ATTEMPT_PERIOD: Duration = Duration::from_millis(2_000);
/// Minimum time to stop if clients have no other process to connect to: some still connect after the request.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(600);
/// Maximum time to stop. Calls in flight by then stay in the journal as attempts that may have been executed.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3_300);

/// The state of the shutdown: whether and when it was requested.
#[derive(Debug)]
pub(super) struct Shutdown {
    requested_at: Option<Instant>,
    min_time: Duration,
}

/// What the engine still works on.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemainingWork {
    /// Number of calls in flight.
    pub calls: usize,
    /// Whether notifications are not acknowledged.
    pub has_notifications: bool,
    /// Number of messages that are not complete.
    pub messages: usize,
    /// Number of connected clients.
    pub clients: usize,
}

impl Shutdown {
    /// Creates the state before a shutdown. With `shared_listener` clients can connect to a successor at once.
    pub fn new(shared_listener: bool) -> Self {
        let min_time = if shared_listener { Duration::ZERO } else { MIN_SHUTDOWN_TIME };
        Self { requested_at: None, min_time }
    }

    /// Begins the shutdown, unless it has begun.
    pub fn request(&mut self, now: Instant) {
        self.requested_at = self.requested_at.or(Some(now));
    }

    /// Whether the shutdown has begun.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether attempts may start.
    pub fn allows_attempts(&self, now: Instant) -> bool {
        self.requested_at.is_none_or(|requested_at| now - requested_at < ATTEMPT_PERIOD)
    }

    /// Whether the engine can stop: the shutdown has begun, and nothing is left that can still be done, or its time
    /// is over.
    pub fn is_complete(&self, now: Instant, remaining: RemainingWork) -> bool {
        let Some(elapsed) = self.requested_at.map(|requested_at| now - requested_at) else { return false };
        let is_idle = remaining.calls == 0 && !remaining.has_notifications;
        let is_done = is_idle && (remaining.messages == 0 || elapsed >= ATTEMPT_PERIOD);
        // A client in the middle of a request would have to repeat it elsewhere.
        let no_clients = remaining.clients == 0;
        elapsed >= MAX_SHUTDOWN_TIME || (is_done && no_clients && elapsed >= self.min_time)
    }
}
