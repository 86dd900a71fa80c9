//! The state of one client connection: its current request, the deadline of its next request, and whether the response
//! to its last submission was written.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection_slots::ConnectionId;
use crate::event::SubmissionId;
use crate::graceful_close;
use crate::write_progress::{SharedSocket, WriteProgress};

/// Maximum time from the connection to the complete first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Maximum time from the first byte of a later request to the complete request. Further bytes do not extend it.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Time after which an idle connection is closed; it is closed earlier if its slot is needed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of a connection's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No response has been sent on the connection.
    AwaitingFirst { opened_at: Instant },
    /// A complete request has been received, and its response has not been sent.
    Open,
    /// All requests have been responded to; the next request may be arriving.
    AwaitingNext { responded_at: Instant },
}

/// The last submission of a connection that was sent to the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LastSubmission {
    /// Nothing was submitted, or the engine has refused the last submission.
    #[default]
    None,
    /// The engine has not responded.
    AwaitingResponse(SubmissionId),
    /// The engine has accepted the submission. The connection's write progress is that of the response, which has
    /// status
    /// 202.
    Accepted(SubmissionId),
}

/// A client's connection. Only the connection's own task serves and closes it; other tasks request the close.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) id: ConnectionId,
    request_state: Cell<RequestState>,
    last_submission: Cell<LastSubmission>,
    pub(super) close_requested: Notify,
    /// Notified when the connection must be closed without waiting for the client.
    pub(super) close_immediately: Notify,
    pub(super) socket: SharedSocket,
    pub(super) write_progress: Rc<WriteProgress>,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(id: ConnectionId, stream: TcpStream) -> Self {
        Self {
            id,
            request_state: Cell::new(RequestState::AwaitingFirst { opened_at: Instant::now() }),
            last_submission: Cell::default(),
            close_requested: Notify::new(),
            close_immediately: Notify::new(),
            socket: Rc::new(RefCell::new(stream)),
            write_progress: Rc::default(),
        }
    }

    /// Requests a graceful close.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Requests a close that does not wait for the client.
    pub(super) fn request_immediate_close(&self) {
        self.close_immediately.notify_one();
        self.request_close();
    }

    /// Whether received bytes have not been read.
    pub(super) fn has_unread(&self) -> bool {
        graceful_close::has_unread(&self.socket)
    }

    /// Whether part of the next request has been read.
    pub(super) fn is_request_arriving(&self) -> bool {
        self.write_progress.first_byte_received_at().is_some()
    }

    /// Records that a complete request was received.
    pub(super) fn request_started(&self) {
        self.request_state.set(RequestState::Open);
    }

    /// Records that the response to the request is ready.
    pub(super) fn request_finished(&self) {
        self.request_state.set(RequestState::AwaitingNext { responded_at: Instant::now() });
        self.write_progress.reset_received();
    }

    /// When the next request must be complete or, on an idle connection, when its first byte must have been received;
    /// `None` while a request is open.
    pub(super) fn request_deadline(&self) -> Option<Instant> {
        match self.request_state.get() {
            RequestState::AwaitingFirst { opened_at } => Some(opened_at + FIRST_REQUEST_TIMEOUT),
            RequestState::Open => None,
            RequestState::AwaitingNext { responded_at } => {
                let first_byte_at = self.write_progress.first_byte_received_at();
                Some(first_byte_at.map_or(responded_at + IDLE_TIMEOUT, |at| at + NEXT_REQUEST_TIMEOUT))
            }
        }
    }

    /// Whether the deadline of the next request has passed.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.request_deadline().is_some_and(|deadline| deadline <= now)
    }

    /// Whether a response has been sent and no byte of a further request has been read.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.request_state.get(), RequestState::AwaitingNext { .. }) && !self.is_request_arriving()
    }

    /// Records that a submission of this connection was sent to the engine.
    pub(super) fn submission_started(&self, id: SubmissionId) {
        self.last_submission.set(LastSubmission::AwaitingResponse(id));
    }

    /// Records that the engine has accepted the submission; the next bytes written belong to its response.
    pub(super) fn submission_accepted(&self, id: SubmissionId) {
        self.write_progress.reset();
        self.last_submission.set(LastSubmission::Accepted(id));
    }

    /// Records that the engine has refused the submission.
    pub(super) fn submission_refused(&self) {
        self.last_submission.set(LastSubmission::None);
    }

    /// The submission of whose response no byte has been written; `None` if there is none.
    pub(super) fn unacknowledged_submission(&self) -> Option<SubmissionId> {
        match self.last_submission.get() {
            LastSubmission::None => None,
            LastSubmission::AwaitingResponse(id) => Some(id),
            LastSubmission::Accepted(id) => (!self.write_progress.write_started()).then_some(id),
        }
    }
}
