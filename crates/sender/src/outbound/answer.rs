//! What a receiver's answer says.

use super::*;

const X_BACKOFF_MS: HeaderName = HeaderName::from_static("x-backoff-ms");
const X_EGRESS_FULL: HeaderName = HeaderName::from_static("x-egress-full");

/// A receiver that asks for a longer wait is not believed: it would be shut out by one bad figure.
pub(super) const LONGEST_WAIT: Millis = 60_000.0;

/// How an answer reads.
pub(super) fn read(response: &Response<Incoming>) -> Report {
    let headers = response.headers();
    match response.status().as_u16() {
        200 => Outcome::Ok.into(),
        429 => Report { wait: told_wait(headers), ..Outcome::Full.into() },
        503 if headers.get(X_EGRESS_FULL).is_some_and(|v| v == "1") => Outcome::Moot.into(),
        503 => Report { wait: told_wait(headers), ..Outcome::Full.into() },
        504 => Outcome::Spent.into(),
        410 => Report { closed: true, ..Outcome::Moot.into() },
        // 500, and whatever else is said: it may have run.
        _ => Outcome::Error.into(),
    }
}

fn told_wait(headers: &HeaderMap) -> Millis {
    let text = headers.get(X_BACKOFF_MS).and_then(|v| v.to_str().ok());
    let wait = text.and_then(|t| t.trim().parse::<f64>().ok()).filter(|w| w.is_finite());
    wait.unwrap_or(0.0).clamp(0.0, LONGEST_WAIT)
}
