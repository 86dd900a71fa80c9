//! One call to an endpoint.

use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Result of a call.
pub enum CallResult {
    Delivered,
    /// Rejected, with a Retry-After in milliseconds.
    Rejected(u64),
    Failed,
    TimedOut,
}

pub async fn call(addr: SocketAddr, message_id: &str, until: Instant) -> CallResult {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let request = format!(
            "POST /v1/messages HTTP/1.1\r\nHost: a\r\nX-Txn: {message_id}\r\nIdempotency-Key: k-{message_id}\r\n\
             Content-Length: 4\r\n\r\ntext"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut head = String::new();
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next_line().await.ok()?.filter(|line| !line.is_empty()) {
            head += &line.to_lowercase();
            head.push('\n');
        }
        let status: u16 = head.get(9..12)?.parse().ok()?;
        let wait = head.lines().find_map(|l| l.strip_prefix("x-backoff-ms: ")?.parse().ok());
        Some((status, wait.unwrap_or(0)))
    };
    match timeout_at(until, exchange).await {
        Ok(Some((200, _))) => CallResult::Delivered,
        Ok(Some((429 | 503, wait))) => CallResult::Rejected(wait),
        Ok(_) => CallResult::Failed,
        Err(_) => CallResult::TimedOut,
    }
}
