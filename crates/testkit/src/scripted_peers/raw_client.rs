//! Client connections that a test writes and reads byte by byte.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

use super::with_timeout;

/// The bytes of a submission. `length` holds the header lines that give the length of the body, each with its line
/// break.
pub fn raw_submission(message_id: &str, length: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /safe HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {message_id}\r\nX-Org: acme\r\nX-Remaining: 60\r\n\
         X-Route-To: dest=7\r\n{length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Reads the status of the next response; `None` if the connection ends instead.
pub async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    match with_timeout("an answer or a close", stream.read_exact(&mut head)).await {
        Ok(_) => Some(String::from_utf8_lossy(&head[9..]).parse().expect("a status")),
        Err(_) => None,
    }
}

/// Reads the rest of a response after [`read_status`], up to the end of its body.
pub async fn read_rest_of_response(stream: &mut TcpStream) {
    let mut received = Vec::new();
    let content_length = |head: &str| {
        let field = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        field.map_or(0, |length| length.parse::<usize>().expect("a length"))
    };
    loop {
        let text = String::from_utf8_lossy(&received);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(&head.to_lowercase())
        {
            return;
        }
        with_timeout("an answer", stream.read_buf(&mut received)).await.expect("readable");
    }
}

/// Connects from a given loopback address.
pub async fn connect_from(from: &str, to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::new(from.parse().expect("an address"), 0)).expect("a free port");
    with_timeout("a connection", socket.connect(to)).await.expect("a connection")
}

/// Reads until the connection ends.
pub async fn read_until_close(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // An error is ignored, because a reset ends the connection as well.
    let _ = with_timeout("the end", stream.read_to_end(&mut rest)).await;
    rest
}
