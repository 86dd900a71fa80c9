//! The response body of a watch: a line per change, and empty lines as heartbeats.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::{mpsc, watch};

use super::Shared;
use super::list::Change;

/// Interval of the empty lines.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A watch's response.
pub(super) struct WatchBody {
    first: Option<String>,
    next: mpsc::Receiver<Change>,
    heartbeat: tokio::time::Interval,
    silent: watch::Receiver<bool>,
    shared: Arc<Shared>,
}

impl WatchBody {
    pub(super) fn new(first: String, next: mpsc::Receiver<Change>, shared: Arc<Shared>) -> Self {
        let silent = shared.silent.subscribe();
        Self { first: Some(first), next, heartbeat: tokio::time::interval(HEARTBEAT), silent, shared }
    }
}

impl Body for WatchBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = |text: String| Poll::Ready(Some(Ok(Frame::data(Bytes::from(text + "\n")))));
        // While the service is silent the heartbeat looks again. The sender may give the watch up first.
        let silent = *self.silent.borrow();
        if let Some(first) = self.first.take() {
            return frame(first);
        }
        if !silent && let Poll::Ready(change) = self.next.poll_recv(cx) {
            let Some(change) = change else { return Poll::Ready(None) };
            self.shared.announce(&mut self.shared.state(), &change.endpoint, change.phase);
            return frame(change.line);
        }
        while self.heartbeat.poll_tick(cx).is_ready() {
            if !silent {
                return frame(String::new());
            }
        }
        Poll::Pending
    }
}
