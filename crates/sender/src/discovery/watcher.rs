//! Keeps a watch open for as long as the engine runs: reconnects after failures, and follows changes of the address.

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

/// Watches the discovery at the configured address, from `revision` on or else from the full list on, and passes lists to
/// the engine. Ends when the engine has ended, or the address can no longer change.
pub async fn watch(
    address: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    schedule: PollSchedule,
    engine: mpsc::Sender<Input>,
) {
    let progress = WatchProgress { revision, last_activity: Instant::now(), received_event: false };
    Watcher { address, progress, schedule, engine }.run().await;
}

/// Reconnects to discovery, session after session.
#[derive(Debug)]
struct Watcher {
    address: watch::Receiver<SocketAddr>,
    progress: WatchProgress,
    schedule: PollSchedule,
    engine: mpsc::Sender<Input>,
}

/// How a session ended.
#[derive(Debug)]
enum SessionEnd {
    /// It failed or was closed.
    Failed { addr: SocketAddr, error: WatchError },
    /// The configuration names another address.
    AddressChanged,
    /// The service has ended.
    ShutDown,
}

impl Watcher {
    async fn run(mut self) {
        let mut pause = self.schedule.initial_delay();
        loop {
            pause = match self.run_session(pause).await {
                SessionEnd::Failed { addr, error } => self.pause_after_failure(addr, &error),
                SessionEnd::AddressChanged => self.reset_for_new_address(),
                SessionEnd::ShutDown => return,
            };
        }
    }

    /// Runs a session after a pause. A change of the address ends both at once.
    async fn run_session(&mut self, pause: Duration) -> SessionEnd {
        self.progress.received_event = false;
        let addr = *self.address.borrow_and_update();
        let mut session = Session {
            addr,
            response_timeout: self.schedule.response_timeout(),
            progress: &mut self.progress,
            engine: &self.engine,
        };
        let session_after_pause = async {
            sleep(pause).await;
            session.run().await
        };
        tokio::select! {
            biased;
            changed = self.address.changed() => match changed {
                Ok(()) => SessionEnd::AddressChanged,
                Err(_) => SessionEnd::ShutDown,
            },
            error = session_after_pause => match error {
                WatchError::EngineClosed => SessionEnd::ShutDown,
                error => SessionEnd::Failed { addr, error },
            },
        }
    }

    /// Starts over with the full list of the new address, whose revisions are unrelated to those received so far. The
    /// addresses of many senders change at the same moment: the first request is delayed as at a start.
    fn reset_for_new_address(&mut self) -> Duration {
        self.progress.revision = None;
        self.schedule.record_success();
        self.schedule.initial_delay()
    }

    /// The pause until the next session.
    fn pause_after_failure(&mut self, addr: SocketAddr, error: &WatchError) -> Duration {
        if matches!(error, WatchError::Unreadable(_)) {
            // Changes were missed: only the full list has them.
            self.progress.revision = None;
        }
        let elapsed = self.progress.last_activity.elapsed();
        if self.progress.received_event {
            tracing::warn!("discovery: {error}; watching again");
            self.schedule.record_success();
            return self.schedule.pause_after_failure(elapsed);
        }
        tracing::debug!(target: LOG_TARGET, %addr, %error, "request failed");
        match error {
            WatchError::Http(HttpError::Status(_)) => self.schedule.pause_after_rejection(elapsed),
            _ => self.schedule.pause_after_failure(elapsed),
        }
    }
}
