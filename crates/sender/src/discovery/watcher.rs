//! Keeps a watch of discovery open while the engine runs: reconnects after failures and changes of the address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::LOG_TARGET;
use super::error::WatchError;
use super::session::{Session, WatchProgress};
use crate::event::Input;
use crate::platform::HttpError;
use crate::poll_schedule::PollSchedule;

/// Watches discovery at the configured address and sends the received lists to the engine. Starts with the changes
/// after `revision`, or with the full list if `revision` is `None`. Ends when the engine has ended, or when the sending
/// half of the channel `address` has been dropped.
pub async fn watch(
    address: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    schedule: PollSchedule,
    engine: mpsc::Sender<Input>,
) {
    let progress = WatchProgress { revision, last_activity: Instant::now(), received_event: false };
    Watcher { address, progress, schedule, engine }.run().await;
}

/// Runs one session after another.
#[derive(Debug)]
struct Watcher {
    address: watch::Receiver<SocketAddr>,
    progress: WatchProgress,
    schedule: PollSchedule,
    engine: mpsc::Sender<Input>,
}

/// Why a session ended.
#[derive(Debug)]
enum SessionEnd {
    /// The session failed, or the server ended the watch.
    Failed { addr: SocketAddr, error: WatchError },
    /// The configured address has changed.
    AddressChanged,
    /// This process is shutting down: the engine has ended, or the sending half of the address channel was dropped.
    ShutDown,
}

impl Watcher {
    async fn run(mut self) {
        let mut delay = self.schedule.initial_delay();
        loop {
            delay = match self.run_session(delay).await {
                SessionEnd::Failed { addr, error } => self.delay_after_failure(addr, &error),
                SessionEnd::AddressChanged => self.reset_for_new_address(),
                SessionEnd::ShutDown => return,
            };
        }
    }

    /// Runs a session after a delay. A change of the address ends the delay or the session immediately.
    async fn run_session(&mut self, delay: Duration) -> SessionEnd {
        self.progress.received_event = false;
        let addr = *self.address.borrow_and_update();
        let mut session = Session {
            addr,
            response_timeout: self.schedule.response_timeout(),
            progress: &mut self.progress,
            engine: &self.engine,
        };
        let delayed_session = async {
            sleep(delay).await;
            session.run().await
        };
        tokio::select! {
            biased;
            changed = self.address.changed() => match changed {
                Ok(()) => SessionEnd::AddressChanged,
                Err(_) => SessionEnd::ShutDown,
            },
            error = delayed_session => match error {
                WatchError::EngineClosed => SessionEnd::ShutDown,
                error => SessionEnd::Failed { addr, error },
            },
        }
    }

    /// Resets the progress, because the revisions of two addresses are unrelated. Returns the delay of the first
    /// request: the initial delay of the schedule, because the addresses of many senders may change at the same moment.
    fn reset_for_new_address(&mut self) -> Duration {
        self.progress.revision = None;
        self.schedule.record_success();
        self.schedule.initial_delay()
    }

    /// Logs the error and returns the delay until the next session.
    fn delay_after_failure(&mut self, addr: SocketAddr, error: &WatchError) -> Duration {
        if matches!(error, WatchError::Unreadable(_)) {
            // Changes were lost, so the next session must fetch the full list, which contains them.
            self.progress.revision = None;
        }
        let elapsed = self.progress.last_activity.elapsed();
        if self.progress.received_event {
            tracing::warn!(%error, "discovery watch failed; reconnecting");
            self.schedule.record_success();
            return self.schedule.delay_after_failure(elapsed);
        }
        tracing::debug!(target: LOG_TARGET, %addr, %error, "request failed");
        match error {
            WatchError::Http(HttpError::Status(_)) => self.schedule.delay_after_rejection(elapsed),
            _ => self.schedule.delay_after_failure(elapsed),
        }
    }
}
