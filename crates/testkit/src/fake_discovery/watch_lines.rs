//! The lines of a watch: one per change, and empty ones as heartbeats.

use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Interval;

use super::Shared;
use super::list::{Change, NewWatch};
use crate::line_body::LineSource;

/// Interval of the empty lines.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Lines of a watch's response.
pub(super) struct WatchLines {
    first: Option<String>,
    changes: mpsc::Receiver<Change>,
    heartbeat: Interval,
    silent: watch::Receiver<bool>,
    shared: Arc<Shared>,
}

impl WatchLines {
    pub(super) fn new(watch: NewWatch, shared: Arc<Shared>) -> Self {
        let NewWatch { first, changes } = watch;
        let silent = shared.silent.subscribe();
        Self { first: Some(first), changes, heartbeat: tokio::time::interval(HEARTBEAT), silent, shared }
    }
}

impl LineSource for WatchLines {
    fn poll_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>> {
        // While the service is silent the heartbeat polls again. The sender may give up the watch before that.
        let silent = *self.silent.borrow();
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        if !silent && let Poll::Ready(change) = self.changes.poll_recv(cx) {
            let Some(change) = change else { return Poll::Ready(None) };
            self.shared.announce(&mut self.shared.state(), &change.endpoint, change.phase);
            return Poll::Ready(Some(change.line));
        }
        while self.heartbeat.poll_tick(cx).is_ready() {
            if !silent {
                return Poll::Ready(Some(String::new()));
            }
        }
        Poll::Pending
    }
}
