//! Tracks how much of an HTTP message was written to a connection and what was received in return. This determines
//! whether the receiver may have executed a request.

mod repeated_response;
mod response_head;
mod tracked_stream;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::metrics::Metrics;
use repeated_response::RepeatedResponse;
use response_head::ResponseHead;
pub(crate) use tracked_stream::{SharedSocket, TrackedStream};

/// Maximum number of bytes that an HTTP connection buffers in each direction.
pub(crate) const MAX_BUFFER: usize = 16 * 1024;

/// Progress of the current message on one connection: a request to a receiver, or a response to a client.
#[derive(Debug, Default)]
pub(crate) struct WriteProgress {
    /// Number of bytes of the current message that were written.
    bytes_written: Cell<u64>,
    /// When the last byte of the current message was written.
    write_completed_at: Cell<Option<Instant>>,
    /// When the first byte of the message being received arrived, not counting interim (1xx) responses.
    first_byte_received_at: Cell<Option<Instant>>,
    /// The head of the current response; `None` on a connection from a client.
    response_head: Option<RefCell<ResponseHead>>,
    /// The response before the current one, of which a copy may be received; see [`RepeatedResponse`].
    repeated_response: RefCell<RepeatedResponse>,
    /// The metrics that count the message once its last byte is written; `None` after that, or if it is not counted.
    metrics_when_complete: RefCell<Option<Rc<Metrics>>>,
    /// Notified whenever bytes are received.
    bytes_received: Notify,
}

impl WriteProgress {
    /// Progress on a connection to a receiver, where the head of each response is inspected.
    pub(crate) fn tracking_responses() -> Self {
        Self { response_head: Some(RefCell::default()), ..Self::default() }
    }

    /// Starts tracking the next message in both directions.
    pub(crate) fn reset(&self) {
        self.bytes_written.set(0);
        self.write_completed_at.set(None);
        self.metrics_when_complete.borrow_mut().take();
        if let Some(head) = &self.response_head {
            *self.repeated_response.borrow_mut() = RepeatedResponse::of(&head.borrow());
        }
        self.reset_received();
    }

    /// Starts tracking the next message to be received.
    pub(crate) fn reset_received(&self) {
        self.first_byte_received_at.set(None);
        if let Some(head) = &self.response_head {
            head.borrow_mut().clear();
        }
    }

    /// Makes `metrics` count the current message as a written call once its last byte is written.
    pub(crate) fn count_when_complete(&self, metrics: Rc<Metrics>) {
        *self.metrics_when_complete.borrow_mut() = Some(metrics);
    }

    /// Whether any byte of the current message has been written.
    pub(crate) fn write_started(&self) -> bool {
        self.bytes_written.get() > 0
    }

    /// Whether the last byte of the current message has been written.
    pub(crate) fn write_complete(&self) -> bool {
        self.write_completed_at.get().is_some()
    }

    /// Time from the last byte written to the first byte received of the response; `None` if either is missing or the
    /// response came first.
    pub(crate) fn response_time(&self) -> Option<Duration> {
        self.first_byte_received_at()?.checked_duration_since(self.write_completed_at.get()?)
    }

    /// When the first byte of the message being received arrived; `None` before that.
    pub(crate) fn first_byte_received_at(&self) -> Option<Instant> {
        self.first_byte_received_at.get()
    }

    /// Whether a complete status line with the status 200 has been received.
    pub(crate) fn received_ok_status_line(&self) -> bool {
        self.response_head.as_ref().is_some_and(|head| head.borrow().has_ok_status_line())
    }

    /// Resolves `limit` after the first byte of a response, whether or not the head is complete by then. The caller
    /// must wait for this and the complete head at the same time.
    pub(crate) async fn response_head_overdue(&self, limit: Duration) {
        loop {
            if let Some(received_at) = self.first_byte_received_at() {
                sleep_until(received_at + limit).await;
                return;
            }
            self.bytes_received.notified().await;
        }
    }

    /// Resolves at `deadline` if the last byte is not written by then; never resolves otherwise.
    pub(crate) async fn write_incomplete_at(&self, deadline: Instant) {
        sleep_until(deadline).await;
        if self.write_complete() {
            std::future::pending::<()>().await;
        }
    }

    fn tracks_responses(&self) -> bool {
        self.response_head.is_some()
    }

    fn record_written(&self, written: usize) {
        self.bytes_written.set(self.bytes_written.get() + written as u64);
    }

    fn record_write_complete(&self) {
        if !self.write_complete() {
            self.write_completed_at.set(Some(Instant::now()));
        }
        if let Some(metrics) = self.metrics_when_complete.borrow_mut().take() {
            metrics.call_written();
        }
    }

    /// The received `bytes` without a copy of the response before the current one.
    fn without_repeated_response<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        if !self.write_complete() || self.first_byte_received_at().is_some() {
            return bytes;
        }
        self.repeated_response.borrow().strip_from(bytes)
    }

    fn record_received(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.append_to_response_head(bytes) && self.first_byte_received_at().is_none() {
            self.first_byte_received_at.set(Some(Instant::now()));
        }
        self.bytes_received.notify_one();
    }

    /// Returns whether the message being received has begun, not counting interim responses.
    fn append_to_response_head(&self, bytes: &[u8]) -> bool {
        let Some(head) = &self.response_head else { return true };
        let mut head = head.borrow_mut();
        head.append(bytes);
        head.has_final_response()
    }
}
