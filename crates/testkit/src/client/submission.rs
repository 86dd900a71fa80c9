//! One submission of a message to a sender, on an idle or a new connection.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::response::{SubmissionResponse, read_response};
use super::{Clients, IdleConnection, PlannedMessage, RESPONSE_TIMEOUT};
use crate::event_log::Event;

/// Maximum number of idle connections to one sender.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Idle time after which a connection is closed without being used again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from writing a request to closing the connection, for clients that disconnect before the response.
const DISCONNECT_DELAY: Duration = Duration::from_millis(1);

/// One submission of a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission<'a> {
    pub(super) message: &'a PlannedMessage,
    /// Index of the sender.
    pub(super) sender: usize,
    /// Id of this submission.
    pub(super) message_id: &'a str,
    /// Time from now in which the message may be delivered.
    pub(super) time_left: Duration,
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SubmissionResult {
    Responded {
        status: u16,
        retry_after: Option<Duration>,
    },
    /// No response in time, or the connection ended.
    Unanswered,
    /// Nothing was submitted, because the sender could not be reached or had closed the idle connection.
    NotSubmitted,
}

impl Submission<'_> {
    fn request(&self) -> Vec<u8> {
        let Self { message, message_id, .. } = self;
        let seconds = self.time_left.as_secs_f64();
        let head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {message_id}\r\nX-Org: {}\r\nX-Remaining: {seconds:.3}\r\n\
             X-Route-To: dest={}\r\nIdempotency-Key: key-{}\r\nContent-Length: {}\r\n\r\n",
            message.class, message.tenant, message.receiver, message.message_id, message.body_len,
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + message.body_len, b'x');
        request
    }

    fn submitted_event(&self, sender: String) -> Event {
        Event::Submitted {
            message_id: self.message_id.to_owned(),
            first_message_id: self.message.message_id.clone(),
            sender,
            class: self.message.class.to_owned(),
            tenant: self.message.tenant.to_owned(),
            receiver: self.message.receiver,
            time_left_ms: self.time_left.as_millis() as u64,
            ordering_key: None,
        }
    }
}

impl Clients {
    /// Submits a message, on an idle connection if there is one.
    pub(super) async fn submit(&self, submission: &Submission<'_>) -> SubmissionResult {
        if let Some(stream) = self.take_idle_connection(submission.sender) {
            match self.exchange(stream, submission).await {
                // The sender has closed the idle connection, so the same submission is sent on a new one.
                SubmissionResult::NotSubmitted => {}
                result => return result,
            }
        }
        let Some(addr) = *self.senders[submission.sender].address.borrow() else {
            return SubmissionResult::NotSubmitted;
        };
        let connected = timeout(RESPONSE_TIMEOUT, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return SubmissionResult::NotSubmitted };
        if stream.set_nodelay(true).is_err() {
            return SubmissionResult::NotSubmitted;
        }
        self.exchange(stream, submission).await
    }

    async fn exchange(&self, mut stream: TcpStream, submission: &Submission<'_>) -> SubmissionResult {
        if !is_open(&stream) {
            return SubmissionResult::NotSubmitted;
        }
        let request = submission.request();
        self.event_log.record(submission.submitted_event(self.senders[submission.sender].name.clone()));
        let response = send(&mut stream, &request, submission.message.disconnects).await;
        let message_id = submission.message_id.to_owned();
        let Some(SubmissionResponse { status, retry_after, keep_alive }) = response else {
            self.event_log.record(Event::Unanswered { message_id });
            return SubmissionResult::Unanswered;
        };
        self.event_log.record(Event::Responded { message_id, status });
        if keep_alive {
            self.store_idle_connection(submission.sender, stream);
        }
        SubmissionResult::Responded { status, retry_after }
    }

    fn take_idle_connection(&self, sender: usize) -> Option<TcpStream> {
        let mut idle_connections = self.senders[sender].idle_connections();
        idle_connections.retain(|connection| connection.idle_since.elapsed() < IDLE_TIMEOUT);
        idle_connections.pop().map(|connection| connection.stream)
    }

    fn store_idle_connection(&self, sender: usize, stream: TcpStream) {
        let mut idle_connections = self.senders[sender].idle_connections();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(IdleConnection { stream, idle_since: Instant::now() });
        }
    }
}

/// Whether the peer has neither closed the connection nor sent bytes that nobody has requested.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Writes a request and reads the response; `None` if the client disconnects first or no valid response arrives in time.
async fn send(stream: &mut TcpStream, request: &[u8], disconnects: bool) -> Option<SubmissionResponse> {
    stream.write_all(request).await.ok()?;
    if disconnects {
        sleep(DISCONNECT_DELAY).await;
        return None;
    }
    timeout(RESPONSE_TIMEOUT, read_response(stream)).await.ok().flatten()
}
