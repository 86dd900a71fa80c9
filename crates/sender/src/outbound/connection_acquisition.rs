//! Acquires the connection that a request is sent over: an idle one, or a new one.

use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::Outbound;
use super::connection::Connection;
use super::exchange::Exchange;
use super::outcome::{Interruption, RequestProgress, ResponseProgress, outcome_without_response};
use super::request::RequestDeadlines;
use super::routes::Target;

/// How long a call waits for an idle connection that may not be used yet; beyond that, a new connection is opened.
const MAX_WAIT_FOR_IDLE: Duration = Duration::from_millis(50);

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
        let idle_connection = tokio::select! {
            biased;
            () = exchange.cancelled.notified() => return Err(Outcome::NotSent),
            connection = timeout_at(latest_use, self.idle_connection(exchange, latest_use)) => connection.ok().flatten(),
        };
        if let Some(connection) = idle_connection {
            return Ok(AcquiredConnection { connection, reused: true });
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

    /// Waits for an idle connection that may be used before `latest_use` and within [`MAX_WAIT_FOR_IDLE`]; `None` if
    /// there will be none. The calls of a route wait in the order in which they start, so that no call waits while later
    /// ones take the connections.
    async fn idle_connection(&self, exchange: &Exchange<'_>, latest_use: Instant) -> Option<Connection> {
        let (route, idempotent) = (exchange.route, exchange.request.is_idempotent());
        let turn = self.idle.turn(route);
        let _turn = turn.lock().await;
        loop {
            if let Some(connection) = self.idle.take(route, idempotent) {
                return Some(connection);
            }
            // A short wait costs less than a new connection.
            let usable_at = self.idle.next_usable_at(route, idempotent)?;
            if usable_at >= latest_use || usable_at > Instant::now() + MAX_WAIT_FOR_IDLE {
                return None;
            }
            sleep_until(usable_at).await;
        }
    }
}
