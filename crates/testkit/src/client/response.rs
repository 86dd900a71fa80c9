//! Reads a sender's response to a submission.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum length of a response, in bytes.
const MAX_RESPONSE_LEN: usize = 64 * 1024;
/// A Retry-After of this many seconds or more is ignored.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;

/// A response to a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SubmissionResponse {
    pub(super) status: u16,
    pub(super) retry_after: Option<Duration>,
    /// Whether the connection can be used for another request.
    pub(super) keep_alive: bool,
}

/// Reads a response; `None` if the connection ends first or the response is not valid.
pub(super) async fn read_response(stream: &mut TcpStream) -> Option<SubmissionResponse> {
    let mut bytes = Vec::new();
    loop {
        if let Some(head_len) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..head_len]).to_lowercase();
            let body_len: usize =
                header_value(&head, "content-length:").map_or(Some(0), |text| text.parse().ok())?;
            let response = parse_head(&head)?;
            if bytes.len() >= head_len + 4 + body_len {
                return Some(response);
            }
        }
        if bytes.len() > MAX_RESPONSE_LEN || stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim)
}

fn parse_head(head: &str) -> Option<SubmissionResponse> {
    let status = head.get(9..12)?.parse().ok()?;
    let retry_after = header_value(head, "retry-after:")
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|seconds| (0.0..MAX_RETRY_AFTER_S).contains(seconds))
        .map(Duration::from_secs_f64);
    let keep_alive = header_value(head, "connection:").is_none_or(|text| text != "close");
    Some(SubmissionResponse { status, retry_after, keep_alive })
}
