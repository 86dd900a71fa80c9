//! What came of a call, and so whether it may have run: the protocol's table 'Senders to receivers', row by row.
//! [`Outcome::possibly_executed`] tells of each outcome whether its call may have.

use super::*;

const X_BACKOFF_MS: HeaderName = HeaderName::from_static("x-backoff-ms");
const X_EGRESS_FULL: HeaderName = HeaderName::from_static("x-egress-full");

/// A receiver that asks for a longer wait is not believed: it would be shut out by one bad figure.
pub const LONGEST_WAIT: Millis = 60_000.0;

/// How far a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    /// No byte of it was written.
    Nothing,
    Part,
    /// Its last byte was written: the receiver begins the call when that has come.
    Whole,
}

/// What came back, where that is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    Nothing,
    /// A first line that says 200; what follows it is no use.
    Ok,
    /// Something else.
    Spoilt,
}

impl Sent {
    pub(super) fn of(write_progress: &WriteProgress) -> Self {
        match (write_progress.write_started(), write_progress.write_complete()) {
            (_, true) => Self::Whole,
            (true, false) => Self::Part,
            (false, false) => Self::Nothing,
        }
    }
}

impl Heard {
    pub(super) fn of(write_progress: &WriteProgress) -> Self {
        match write_progress.first_byte_received_at() {
            None => Self::Nothing,
            Some(_) if write_progress.received_ok_status_line() => Self::Ok,
            Some(_) => Self::Spoilt,
        }
    }
}

/// Why nothing more is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The connection never came up, ended, or what came over it is no answer.
    Broken,
    /// Time is up.
    TimedOut,
    /// Its owner wants no answer any more.
    Cancelled,
    /// It must not go any more: its time was over, its receiver drains or waits, or nothing could be had to
    /// send it with.
    Withheld,
}

/// The outcome of a call without an answer that can be relied on.
pub(super) fn unanswered(sent: Sent, heard: Heard, end: End) -> Outcome {
    match (sent, heard, end) {
        // Never: what is said before the last byte is no answer to this call. Our own doing tells nothing of
        // the receiver.
        (Sent::Nothing | Sent::Part, _, End::Cancelled | End::Withheld) => Outcome::NotSent,
        (Sent::Nothing | Sent::Part, _, End::Broken | End::TimedOut) => Outcome::ConnectFailed,
        // The first line has told already.
        (Sent::Whole, Heard::Ok, _) => Outcome::Ok,
        (Sent::Whole, _, End::Cancelled | End::Withheld) => Outcome::Cancelled,
        // It ran, and the receiver is up.
        (Sent::Whole, Heard::Spoilt, End::Broken | End::TimedOut) => Outcome::Error,
        (Sent::Whole, Heard::Nothing, End::Broken) => Outcome::Reset,
        (Sent::Whole, Heard::Nothing, End::TimedOut) => Outcome::Timeout,
    }
}

/// Whether an answer of this outcome is relied on with the call so far out. That it ran is not, if its last byte
/// is still to go: the answer is to something else, and the call must not go on.
pub(super) fn answers(sent: Sent, outcome: Outcome) -> bool {
    sent == Sent::Whole || !outcome.possibly_executed()
}

/// How a whole answer reads.
pub(super) fn answered(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    match status.as_u16() {
        200 => Outcome::Ok.into(),
        429 => AttemptResult { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        503 if headers.get(X_EGRESS_FULL).is_some_and(|v| v == "1") => Outcome::NotSent.into(),
        503 => AttemptResult { retry_after: retry_after(headers), ..Outcome::Rejected.into() },
        504 => Outcome::AttemptsExhausted.into(),
        410 => AttemptResult { closed: true, ..Outcome::NotSent.into() },
        // 500, and whatever else is said: it may have run.
        _ => Outcome::Error.into(),
    }
}

fn retry_after(headers: &HeaderMap) -> Millis {
    let text = headers.get(X_BACKOFF_MS).and_then(|v| v.to_str().ok());
    let wait = text.and_then(|t| t.trim().parse::<f64>().ok()).filter(|w| w.is_finite());
    wait.unwrap_or(0.0).clamp(0.0, LONGEST_WAIT)
}
