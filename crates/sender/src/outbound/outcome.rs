//! Determines the outcome of an attempt, and so whether it may have been executed, by the protocol's table 'Senders to
//! receivers'. [`Outcome::possibly_executed`] is true for each outcome whose call may have been executed.

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
    /// No byte.
    NotStarted,
    /// The first byte, but not the last.
    Partial,
    /// The last byte: the receiver executes the call once it has received that.
    Complete,
}

/// What was received of a response that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// No byte of a response.
    Nothing,
    /// A status line with status 200; the rest is unusable.
    OkStatusLine,
    /// Anything else.
    Unusable,
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
            Some(_) => Self::Unusable,
        }
    }
}

/// Why a response is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The connection could not be opened or ended, or the received bytes are not a response.
    ConnectionBroken,
    /// A deadline passed.
    TimedOut,
    /// The engine cancelled the call.
    Cancelled,
    /// The request must not be sent: a deadline has passed, the receiver drains or backs off, or there is no connection.
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
    use ResponseProgress::{Nothing, OkStatusLine, Unusable};
    match (request, response, interruption) {
        // Never executed: bytes received before the last byte is written are not a response to this call. An interruption
        // by this process is no failure of the receiver.
        (NotStarted | Partial, _, Cancelled | Withheld) => Outcome::NotSent,
        (NotStarted | Partial, _, ConnectionBroken | TimedOut) => Outcome::ConnectFailed,
        // The status line suffices.
        (Complete, OkStatusLine, _) => Outcome::Ok,
        (Complete, Nothing | Unusable, Cancelled | Withheld) => Outcome::Cancelled,
        // Executed, and the receiver is up.
        (Complete, Unusable, ConnectionBroken | TimedOut) => Outcome::Error,
        (Complete, Nothing, ConnectionBroken) => Outcome::Reset,
        (Complete, Nothing, TimedOut) => Outcome::Timeout,
    }
}

/// Whether a response with this outcome is reliable at this progress of the request. Before the last byte is written, the
/// call cannot have been executed.
pub(super) fn is_reliable(request: RequestProgress, outcome: Outcome) -> bool {
    request == RequestProgress::Complete || !outcome.possibly_executed()
}

/// The result of a complete response.
pub(super) fn result_of_response(status: StatusCode, headers: &HeaderMap) -> CallOutcome {
    match status.as_u16() {
        200 => Outcome::Ok.into(),
        429 => CallOutcome { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        503 if headers.get(X_EGRESS_FULL).is_some_and(|value| value == "1") => Outcome::NotSent.into(),
        503 => CallOutcome { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        504 => Outcome::AttemptsExhausted.into(),
        410 => CallOutcome { completed: true, ..Outcome::NotSent.into() },
        // 500 and any other status: possibly executed.
        _ => Outcome::Error.into(),
    }
}

fn retry_after(headers: &HeaderMap) -> Millis {
    let text = headers.get(X_BACKOFF_MS).and_then(|value| value.to_str().ok());
    let wait = text.and_then(|text| text.trim().parse::<f64>().ok()).filter(|wait| wait.is_finite());
    wait.unwrap_or(0.0).clamp(0.0, MAX_BACKOFF_MS)
}
