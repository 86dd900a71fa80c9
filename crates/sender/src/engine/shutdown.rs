//! The graceful shutdown of the engine: until when new attempts may start, and when the engine can stop.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the stop request during which new attempts may start. A later attempt might not finish before the engine
/// stops.
pub(super) const ATTEMPT_START_WINDOW: Duration = Duration::from_millis(2_000);
/// Minimum duration of the shutdown if no successor shares the listener. Some clients still connect after the stop
/// request, and the engine must answer them.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(600);
/// Maximum duration of the shutdown. Calls that are in flight when it ends stay in the journal as attempts that may
/// have been executed.
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
    /// Whether there are notifications that the platform has not acknowledged.
    pub has_unacknowledged_notifications: bool,
    /// Number of tracked messages. A message is tracked until it is complete.
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

    /// Whether new attempts may start: always before the stop request, and for [`ATTEMPT_START_WINDOW`] after it.
    pub fn allows_attempts(&self, now: Instant) -> bool {
        self.requested_at.is_none_or(|requested_at| now - requested_at < ATTEMPT_START_WINDOW)
    }

    /// Whether the engine can stop. That is so once [`MAX_SHUTDOWN_DURATION`] has passed since the stop request, or
    /// earlier if the minimum duration has passed, no call, unacknowledged notification or client connection remains,
    /// and the tracked messages are complete or can no longer be attempted.
    pub fn is_complete(&self, now: Instant, remaining: RemainingWork) -> bool {
        let Some(elapsed) = self.requested_at.map(|requested_at| now - requested_at) else { return false };
        let nothing_in_flight = remaining.calls == 0 && !remaining.has_unacknowledged_notifications;
        let work_finished = nothing_in_flight && (remaining.messages == 0 || elapsed >= ATTEMPT_START_WINDOW);
        // A client whose connection closes during a request has to repeat the request on another sender.
        let no_connections = remaining.client_connections == 0;
        elapsed >= MAX_SHUTDOWN_DURATION || (work_finished && no_connections && elapsed >= self.min_duration)
    }
}
