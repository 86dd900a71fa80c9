//! One submission of a message to a sender, on a kept or a new connection.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::response::{SubmissionResponse, read_response};
use super::{Clients, KeptConnection, PlannedMessage, RESPONSE_TIMEOUT};
use crate::event_log::Event;

/// Connections to one sender that are kept for later submissions.
const MAX_KEPT: usize = 32;
/// Idle time after which a kept connection is not used again.
const KEPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after its submission at which a client disconnects.
const DISCONNECT_DELAY: Duration = Duration::from_millis(1);

/// One submission of a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission<'a> {
    pub(super) message: &'a PlannedMessage,
    /// Index of the sender.
    pub(super) sender: usize,
    /// Id of this submission.
    pub(super) message_id: &'a str,
    /// Time in which the message may be delivered.
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
    /// The sender could not be reached, or closed a kept connection: nothing was submitted.
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

    fn event(&self, sender: String) -> Event {
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
    /// Submits a message, on a kept connection if there is one.
    pub(super) async fn submit(&self, submission: &Submission<'_>) -> SubmissionResult {
        if let Some(stream) = self.take_kept(submission.sender) {
            match self.exchange(stream, submission).await {
                // The sender has closed the connection: submitted once more on a new one, with the same id.
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
        self.event_log.record(submission.event(self.senders[submission.sender].name.clone()));
        let response = send(&mut stream, &request, submission.message.disconnects).await;
        let message_id = submission.message_id.to_owned();
        let Some(SubmissionResponse { status, retry_after, keep_alive }) = response else {
            self.event_log.record(Event::Unanswered { message_id });
            return SubmissionResult::Unanswered;
        };
        self.event_log.record(Event::Responded { message_id, status });
        if keep_alive {
            self.keep(submission.sender, stream);
        }
        SubmissionResult::Responded { status, retry_after }
    }

    fn take_kept(&self, sender: usize) -> Option<TcpStream> {
        let mut kept = self.senders[sender].kept();
        kept.retain(|connection| connection.since.elapsed() < KEPT_TIMEOUT);
        kept.pop().map(|connection| connection.stream)
    }

    fn keep(&self, sender: usize, stream: TcpStream) {
        let mut kept = self.senders[sender].kept();
        if kept.len() < MAX_KEPT {
            kept.push(KeptConnection { stream, since: Instant::now() });
        }
    }
}

/// Whether a connection is still open.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Writes a request and reads the response, unless the client disconnects first.
async fn send(stream: &mut TcpStream, request: &[u8], disconnects: bool) -> Option<SubmissionResponse> {
    stream.write_all(request).await.ok()?;
    if disconnects {
        sleep(DISCONNECT_DELAY).await;
        return None;
    }
    timeout(RESPONSE_TIMEOUT, read_response(stream)).await.ok().flatten()
}
