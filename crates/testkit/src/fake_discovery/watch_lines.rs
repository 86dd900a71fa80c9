//! The lines of a watch: one line per change, and empty lines as heartbeats.

use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Interval;

use super::Shared;
use super::list::{Change, NewWatch};
use crate::line_body::LineSource;

/// Interval of the empty lines.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Source of the lines of a watch's response.
pub(super) struct WatchLines {
    /// The first line, until it is sent.
    first_line: Option<String>,
    changes: mpsc::Receiver<Change>,
    heartbeat: Interval,
    silent: watch::Receiver<bool>,
    shared: Arc<Shared>,
}

impl WatchLines {
    pub(super) fn new(watch: NewWatch, shared: Arc<Shared>) -> Self {
        let NewWatch { first_line, changes } = watch;
        let silent = shared.silent.subscribe();
        Self {
            first_line: Some(first_line),
            changes,
            heartbeat: tokio::time::interval(HEARTBEAT_INTERVAL),
            silent,
            shared,
        }
    }
}

impl LineSource for WatchLines {
    fn poll_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>> {
        // While the service is silent, each tick of the heartbeat polls again, so that lines resume after the silence. The
        // sender may close the watch before that.
        let silent = *self.silent.borrow();
        if let Some(first_line) = self.first_line.take() {
            return Poll::Ready(Some(first_line));
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
