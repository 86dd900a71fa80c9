//! Handles one request: a readiness check, or a message that is submitted to the engine.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rudderspindle_policy::interface::Millis;
use tokio::sync::{SemaphorePermit, oneshot};
use tokio::time::Instant;

use super::Inbound;
use super::connection::ClientConnection;
use super::rejection::RequestRejection;
use super::request_body;
use super::request_head::SubmissionHead;
use super::response::{HttpResponse, text_response};
use crate::admission_state::AdmissionState;
use crate::event::{Input, Submission, SubmissionId, SubmissionResponse};
use crate::metrics::FinalOutcome;

const READY_PATH: &str = "/-/ready";
/// Maximum length of a body for which no memory is reserved, in bytes: these bodies take less than their connections.
const MAX_UNRESERVED_BODY: u32 = 1_024;

impl Inbound {
    /// Responds to a request, and records that its response is ready.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<HttpResponse, Infallible> {
        let response = self.handle(request, connection).await;
        let mut response = response.unwrap_or_else(RequestRejection::into_response);
        if response.status().is_client_error() || *self.admission_state.borrow() != AdmissionState::Accepting
        {
            // The connection is closed after a malformed request because the next bytes may be the rest of its body.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.request_finished();
        self.close_surplus_idle_connection(connection.id);
        Ok(response)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<HttpResponse, RequestRejection> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, READY_PATH) => self.check_readiness(),
            (_, READY_PATH) => Err(RequestRejection::GetOnly),
            (&Method::POST, _) => self.submit(request, connection).await,
            _ => Err(RequestRejection::PostOnly),
        }
    }

    /// Responds to the readiness check. The process is also ready while it hands over to its successor, because the
    /// successor is the same sender.
    fn check_readiness(&self) -> Result<HttpResponse, RequestRejection> {
        match *self.admission_state.borrow() {
            AdmissionState::Accepting | AdmissionState::HandingOver => {
                Ok(text_response(StatusCode::OK, "ready"))
            }
            AdmissionState::Drained | AdmissionState::Stopping => Err(RequestRejection::NotReady),
        }
    }

    /// Submits a message to the engine and waits for the engine's response.
    async fn submit(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<HttpResponse, RequestRejection> {
        let head = SubmissionHead::parse(&request, &self.settings, &self.names)?;
        // Memory for the body is reserved until the engine has responded, because the body may wait there for several
        // batches of the journal.
        let _reservation = self.reserve_body_bytes(&head)?;
        let body = receive_body(&head, request.into_body(), connection).await?;
        connection.request_started();
        self.slots.borrow_mut().request_started(connection.id, self.now());
        let (response_sender, response_receiver) = oneshot::channel();
        let submission = self.new_submission(head, body, response_sender);
        let id = submission.id;
        self.send_to_engine(submission)?;
        connection.submission_started(id);
        let submission_response =
            response_receiver.await.unwrap_or(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER);
        if submission_response == SubmissionResponse::Accepted {
            connection.submission_accepted(id);
        } else {
            connection.submission_refused();
        }
        self.http_response(submission_response)
    }

    /// Reserves memory for a body. A small body needs none, so that clients with small messages are served while large
    /// bodies take all the memory.
    fn reserve_body_bytes(&self, head: &SubmissionHead) -> Result<SemaphorePermit<'_>, RequestRejection> {
        let reserved = if head.body_len <= MAX_UNRESERVED_BODY { 0 } else { head.body_len };
        let reservation = self.free_body_bytes.try_acquire_many(reserved);
        reservation.map_err(|_| self.reject_for_capacity(head.class))
    }

    /// Creates a submission. The message's remaining time starts now, when the last byte of its body has been received,
    /// and is at most the deadline of its class.
    fn new_submission(
        &self,
        head: SubmissionHead,
        body: Bytes,
        response_sender: oneshot::Sender<SubmissionResponse>,
    ) -> Submission {
        let max_remaining_s = self.settings.classes[head.class].deadline / 1_000.0;
        let remaining = Duration::from_secs_f64(head.remaining_s.min(max_remaining_s));
        let number = self.next_submission.get();
        self.next_submission.set(number + 1);
        Submission {
            id: SubmissionId(number),
            message_id: head.message_id,
            class: head.class,
            tenant: head.tenant,
            destination: head.destination,
            idempotency_key: head.idempotency_key,
            body,
            deadline: Instant::now() + remaining,
            response_sender,
        }
    }

    /// Sends a submission to the engine; it is rejected if the engine's queue is full or the engine has stopped.
    fn send_to_engine(&self, submission: Submission) -> Result<(), RequestRejection> {
        let class = submission.class;
        let sent = self.to_engine.try_send(Input::Submitted(submission));
        sent.map_err(|_| self.reject_for_capacity(class))
    }

    fn http_response(
        &self,
        submission_response: SubmissionResponse,
    ) -> Result<HttpResponse, RequestRejection> {
        match submission_response {
            SubmissionResponse::Accepted => Ok(text_response(StatusCode::ACCEPTED, "taken on")),
            SubmissionResponse::Refused { retry_after } => Err(self.overload_rejection(retry_after)),
            SubmissionResponse::Failed => Err(RequestRejection::Failed),
            SubmissionResponse::UnknownDestination => Err(RequestRejection::UnknownDestination),
        }
    }

    /// Rejects a message for lack of capacity. Counts the rejection, because the engine counts only the messages that
    /// are sent to it.
    fn reject_for_capacity(&self, class: usize) -> RequestRejection {
        self.metrics.count_outcome(class, FinalOutcome::Rejected);
        self.overload_rejection(0.0)
    }

    fn overload_rejection(&self, retry_after: Millis) -> RequestRejection {
        let advise_retry = self.settings.retry_after && retry_after > 0.0;
        RequestRejection::Overloaded { retry_after: advise_retry.then_some(retry_after) }
    }
}

/// Reads the body of the request that is being received on a connection.
async fn receive_body(
    head: &SubmissionHead,
    body: Incoming,
    connection: &ClientConnection,
) -> Result<Bytes, RequestRejection> {
    // A deadline always exists here, because the request that is being received is not open before it is complete.
    let deadline = connection.request_deadline().unwrap_or_else(Instant::now);
    request_body::read(body, head.body_len, deadline).await
}
