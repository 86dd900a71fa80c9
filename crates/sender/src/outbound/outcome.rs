//! Determines the outcome of an attempt according to the table 'Senders to receivers' of the protocol. The outcome also
//! states whether the receiver may have executed the call (see [`Outcome::possibly_executed`]).

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use rudderspindle_policy::interface::{Millis, Outcome};

use crate::event::CallOutcome;
use crate::write_progress::WriteProgress;

const X_BACKOFF_MS: HeaderName = HeaderName::from_static("x-backoff-ms");
const X_EGRESS_FULL: HeaderName = HeaderName::from_static("x-egress-full");

/// Maximum backoff that a receiver can request, in milliseconds; a longer one is reduced to this.
pub const MAX_BACKOFF_MS: Millis = 60_000.0;

/// How much of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// No byte was written.
    NotStarted,
    /// The first byte was written, but not the last.
    Partial,
    /// The last byte was written; the receiver executes the call once it has received this byte.
    Complete,
}

/// What was received of a response that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// No byte of a response was received.
    Nothing,
    /// A complete status line with status 200 was received; the rest is missing or malformed.
    OkStatusLine,
    /// At least one byte was received, but no complete status line with status 200.
    NoOkStatusLine,
}

impl RequestProgress {
    /// How much of the current request was written.
    pub(super) fn of(progress: &WriteProgress) -> Self {
        match (progress.write_started(), progress.write_complete()) {
            (_, true) => Self::Complete,
            (true, false) => Self::Partial,
            (false, false) => Self::NotStarted,
        }
    }
}

impl ResponseProgress {
    /// What was received of the current response.
    pub(super) fn of(progress: &WriteProgress) -> Self {
        match progress.first_byte_received_at() {
            None => Self::Nothing,
            Some(_) if progress.received_ok_status_line() => Self::OkStatusLine,
            Some(_) => Self::NoOkStatusLine,
        }
    }
}

/// Why an exchange ended without a reliable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The connection could not be opened, the connection ended, or the received bytes are not a valid response.
    ConnectionBroken,
    /// A deadline passed.
    TimedOut,
    /// The engine cancelled the call.
    Cancelled,
    /// The request must not be sent: a deadline has passed, the receiver is draining or has requested a backoff, or no
    /// connection is available.
    Withheld,
}

/// The outcome of an attempt without a reliable response.
pub(super) fn outcome_without_response(
    request: RequestProgress,
    response: ResponseProgress,
    interruption: Interruption,
) -> Outcome {
    use Interruption::{Cancelled, ConnectionBroken, TimedOut, Withheld};
    use RequestProgress::{Complete, NotStarted, Partial};
    use ResponseProgress::{NoOkStatusLine, Nothing, OkStatusLine};
    match (request, response, interruption) {
        // The call was not executed, whatever was received: bytes that are received before the last byte is written are
        // not a response to this call. An interruption by this process does not count as a failure of the receiver.
        (NotStarted | Partial, _, Cancelled | Withheld) => Outcome::NotSent,
        (NotStarted | Partial, _, ConnectionBroken | TimedOut) => Outcome::ConnectFailed,
        // A complete status line with status 200 proves that the call was executed.
        (Complete, OkStatusLine, _) => Outcome::Ok,
        (Complete, Nothing | NoOkStatusLine, Cancelled | Withheld) => Outcome::Cancelled,
        // The call may have been executed, and the receiver is up, because it has sent bytes.
        (Complete, NoOkStatusLine, ConnectionBroken | TimedOut) => Outcome::Error,
        (Complete, Nothing, ConnectionBroken) => Outcome::Reset,
        (Complete, Nothing, TimedOut) => Outcome::Timeout,
    }
}

/// Whether a response with this outcome is reliable at this progress of the request. A response that reports a possible
/// execution before the last byte is written does not belong to the call: the call cannot have been executed yet.
pub(super) fn is_reliable(request: RequestProgress, outcome: Outcome) -> bool {
    request == RequestProgress::Complete || !outcome.possibly_executed()
}

/// The outcome that a response reports by its status and headers.
pub(super) fn call_outcome_of_response(status: StatusCode, headers: &HeaderMap) -> CallOutcome {
    match status.as_u16() {
        200 => Outcome::Ok.into(),
        429 => CallOutcome { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        503 if headers.get(X_EGRESS_FULL).is_some_and(|value| value == "1") => Outcome::NotSent.into(),
        503 => CallOutcome { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        504 => Outcome::AttemptsExhausted.into(),
        410 => CallOutcome { completed: true, ..Outcome::NotSent.into() },
        // The call may have been executed if the status is 500 or any other.
        _ => Outcome::Error.into(),
    }
}

/// The backoff in `X-Backoff-Ms`, in milliseconds, at most [`MAX_BACKOFF_MS`]; 0 if the header is missing or not a
/// finite number.
fn retry_after(headers: &HeaderMap) -> Millis {
    let text = headers.get(X_BACKOFF_MS).and_then(|value| value.to_str().ok());
    let wait = text.and_then(|text| text.trim().parse::<f64>().ok()).filter(|wait| wait.is_finite());
    wait.unwrap_or(0.0).clamp(0.0, MAX_BACKOFF_MS)
}
