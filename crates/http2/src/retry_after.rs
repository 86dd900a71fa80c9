//! Parses the `Retry-After` header (RFC 9110, 10.2.3).

use std::time::{Duration, SystemTime};

#[cfg(test)]
mod tests;

/// Maximum delay that is accepted from a `Retry-After` header, so that a wrong value
/// cannot block an endpoint for longer.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Parses the value of a `Retry-After` header, which is a number of seconds or an HTTP date, into the delay from
/// `now`.
///
/// A date in the past gives a delay of zero. The delay is not limited to [`MAX_RETRY_AFTER`]. Returns `None` if the
/// value cannot be parsed.
pub fn parse_retry_after(value: &[u8], now: SystemTime) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) {
        // Parsing digits fails only if the number overflows.
        return Some(Duration::from_secs(text.parse().unwrap_or(u64::MAX)));
    }
    let retry_at = httpdate::parse_http_date(text).ok()?;
    Some(retry_at.duration_since(now).unwrap_or_default())
}
