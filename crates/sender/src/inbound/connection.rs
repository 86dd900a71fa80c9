//! The state of one client connection: whether a request is open, until when the next one must be received, and whether
//! the response to the last submission was written.

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

/// A client's first request must be complete so long after it connected.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
/// A later request must be complete so long after its first byte. Bytes that trickle in do not extend it.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a connection is kept for its next request, while others do not need its slot.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Which request a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Nothing has been answered since the connection was opened.
    AwaitingFirst { opened_at: Instant },
    /// A complete request has been received and is not answered.
    Open,
    /// All requests are answered; the next one may be arriving.
    AwaitingNext { responded_at: Instant },
}

/// The last submission of a connection that the engine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LastSubmission {
    /// There is none, or the engine did not accept it.
    #[default]
    None,
    /// The engine has not answered yet.
    AwaitingDecision(SubmissionId),
    /// The engine has accepted it, and the write progress is that of its 202.
    Accepted(SubmissionId),
}

/// A client's connection. Its task serves and closes it; others only ask for the close.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) id: ConnectionId,
    request_state: Cell<RequestState>,
    last_submission: Cell<LastSubmission>,
    pub(super) close_requested: Notify,
    /// The descriptor is needed: the connection's close is not waited for.
    pub(super) close_immediately: Notify,
    pub(super) socket: SharedSocket,
    pub(super) write_progress: Rc<WriteProgress>,
}

impl ClientConnection {
    /// A connection that was just accepted.
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

    /// Asks the connection's task to close it gracefully.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Asks the connection's task to close it without waiting for the client.
    pub(super) fn request_immediate_close(&self) {
        self.close_immediately.notify_one();
        self.request_close();
    }

    /// Whether bytes have been received that were not read.
    pub(super) fn has_unread(&self) -> bool {
        graceful_close::has_unread(&self.socket)
    }

    /// Whether some of the next request has been read.
    pub(super) fn is_request_arriving(&self) -> bool {
        self.write_progress.first_byte_received_at().is_some()
    }

    /// A complete request has been received.
    pub(super) fn request_started(&self) {
        self.request_state.set(RequestState::Open);
    }

    /// The request has its response; the next one may follow.
    pub(super) fn request_finished(&self) {
        self.request_state.set(RequestState::AwaitingNext { responded_at: Instant::now() });
        self.write_progress.reset_received();
    }

    /// When the request that is arriving, or may arrive, must be complete; none while a request is open.
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

    /// Whether the next request was not complete in time.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.request_deadline().is_some_and(|deadline| deadline <= now)
    }

    /// Whether it has had a response, and nothing of a further request has been read.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.request_state.get(), RequestState::AwaitingNext { .. }) && !self.is_request_arriving()
    }

    /// The engine was given a submission of this connection.
    pub(super) fn submission_started(&self, id: SubmissionId) {
        self.last_submission.set(LastSubmission::AwaitingDecision(id));
    }

    /// The engine has accepted the submission; what is written from here on is its 202.
    pub(super) fn submission_accepted(&self, id: SubmissionId) {
        self.write_progress.reset();
        self.last_submission.set(LastSubmission::Accepted(id));
    }

    /// The engine has refused the submission.
    pub(super) fn submission_refused(&self) {
        self.last_submission.set(LastSubmission::None);
    }

    /// The submission of which the client has received no response.
    pub(super) fn unacknowledged_submission(&self) -> Option<SubmissionId> {
        match self.last_submission.get() {
            LastSubmission::None => None,
            LastSubmission::AwaitingDecision(id) => Some(id),
            LastSubmission::Accepted(id) => (!self.write_progress.write_started()).then_some(id),
        }
    }
}
