//! Sends one request and receives the head of its response, on a stream of their own.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::time::SystemTime;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::header::RETRY_AFTER;
use http::{Request, Response};
use tokio::time::{sleep_until, timeout_at};

use super::CallDeadlines;
use crate::outcome::StreamOutcome;
use crate::retry_after::parse_retry_after;

/// The state of one request and its response.
pub(super) struct Exchange {
    deadlines: CallDeadlines,
    request_complete: bool,
}

impl Exchange {
    pub(super) fn new(deadlines: CallDeadlines) -> Self {
        Self { deadlines, request_complete: false }
    }

    /// Whether the last byte of the request was handed to the connection, also if [`Exchange::run`] failed after
    /// that.
    pub(super) fn request_complete(&self) -> bool {
        self.request_complete
    }

    /// Sends the request and waits for the head of the response. Dropping the future resets the stream.
    ///
    /// # Errors
    ///
    /// The error with which `h2` ended the stream.
    pub(super) async fn run(
        &mut self,
        sender: SendRequest<Bytes>,
        request: Request<()>,
        body: Bytes,
    ) -> Result<StreamOutcome, h2::Error> {
        let Ok(sender) = timeout_at(self.deadlines.earlier(), sender.ready()).await else {
            return Ok(StreamOutcome::DeadlineExceeded);
        };
        let mut sender = sender?;
        let (response, mut stream) = sender.send_request(request, body.is_empty())?;
        self.request_complete = body.is_empty();
        let mut response = pin!(response);
        if let Some(outcome) = self.send_body(&mut stream, body, response.as_mut()).await? {
            return Ok(outcome);
        }
        tokio::select! {
            biased;
            response = response => response.map(outcome_of_response),
            () = sleep_until(self.deadlines.response) => Ok(StreamOutcome::DeadlineExceeded),
        }
    }

    /// Sends the body in chunks that fit into the stream's flow-control window, because `h2` would buffer anything
    /// beyond it and the buffered bytes would count as sent.
    ///
    /// Returns the outcome if the exchange ended meanwhile, and `None` if the response is still pending.
    async fn send_body(
        &mut self,
        stream: &mut SendStream<Bytes>,
        mut body: Bytes,
        mut response: Pin<&mut ResponseFuture>,
    ) -> Result<Option<StreamOutcome>, h2::Error> {
        while !self.request_complete {
            stream.reserve_capacity(body.len());
            tokio::select! {
                biased;
                response = response.as_mut() => return response.map(outcome_of_response).map(Some),
                () = sleep_until(self.deadlines.earlier()) => return Ok(Some(StreamOutcome::DeadlineExceeded)),
                capacity = poll_fn(|context| stream.poll_capacity(context)) => {
                    // No more capacity means that the stream has ended; its outcome is read from the response.
                    let Some(Ok(capacity)) = capacity else { return Ok(None) };
                    let chunk = body.split_to(capacity.min(body.len()));
                    self.request_complete = body.is_empty();
                    stream.send_data(chunk, self.request_complete)?;
                }
            }
        }
        Ok(None)
    }
}

fn outcome_of_response(response: Response<RecvStream>) -> StreamOutcome {
    let header = response.headers().get(RETRY_AFTER);
    let retry_after = header.and_then(|value| parse_retry_after(value.as_bytes(), SystemTime::now()));
    StreamOutcome::Response { status: response.status().as_u16(), retry_after }
}
