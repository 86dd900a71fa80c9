//! Acquires the connection that a request is sent over: an idle one, or a new one.

use rudderspindle_policy::interface::Outcome;
use tokio::time::{Instant, sleep_until};

use super::Outbound;
use super::connection::Connection;
use super::exchange::Exchange;
use super::outcome::{Interruption, RequestProgress, ResponseProgress, outcome_without_response};
use super::request::RequestDeadlines;
use super::routes::Target;

/// The connection that a request is sent over.
#[derive(Debug)]
pub(super) struct AcquiredConnection {
    pub(super) connection: Connection,
    /// Whether the connection is from the pool. The receiver may have closed such a connection while it was idle.
    pub(super) reused: bool,
}

impl Outbound {
    /// Takes an idle connection, if necessary once it has been idle long enough, or opens one.
    ///
    /// # Errors
    ///
    /// The outcome of the exchange if no connection is available.
    pub(super) async fn acquire_connection(
        &self,
        exchange: &Exchange<'_>,
        target: Target,
    ) -> Result<AcquiredConnection, Outcome> {
        let RequestDeadlines { response_deadline, write_deadline, .. } = exchange.deadlines;
        let latest_use = response_deadline.min(write_deadline);
        loop {
            if let Some(connection) = self.idle.take(exchange.route, exchange.request.is_idempotent()) {
                return Ok(AcquiredConnection { connection, reused: true });
            }
            // Waiting for a connection costs the receiver less than a new one.
            let usable_at = self.idle.next_usable_at(exchange.route, exchange.request.is_idempotent());
            let Some(usable_at) = usable_at.filter(|&usable_at| usable_at < latest_use) else { break };
            tokio::select! {
                biased;
                () = exchange.cancelled.notified() => return Err(Outcome::NotSent),
                () = sleep_until(usable_at) => {}
            }
        }
        let connected = tokio::select! {
            biased;
            () = exchange.cancelled.notified() => Err(Interruption::Cancelled),
            connected = self.connect(target.addr, latest_use) => connected,
        };
        match connected {
            Ok(connection) => Ok(AcquiredConnection { connection, reused: false }),
            // This does not count as a failure of the receiver, because the time until the write deadline may have been
            // too short for the connection to open.
            Err(_) if Instant::now() >= write_deadline => Err(Outcome::NotSent),
            Err(interruption) => Err(outcome_without_response(
                RequestProgress::NotStarted,
                ResponseProgress::Nothing,
                interruption,
            )),
        }
    }
}
