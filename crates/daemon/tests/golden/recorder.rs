//! A peer of the program that keeps each request as it came, byte for byte, and answers as told.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::common::soon;
use crate::expected::printable;

/// The head of an answer whose body ends with the connection.
pub const OPEN_ENDED: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// An answer that a recorder gives by itself.
pub enum AtOnce {
    /// The connection is closed behind it.
    Closing(String),
    /// The connection stays open, and the test may write more.
    Open(String),
}

/// What answers a request at once, from the request and some material; `None` leaves it to the test.
pub type AnswerAtOnce = fn(&str, &str) -> Option<AtOnce>;

/// A listener whose requests are recorded.
pub struct Recorder {
    pub addr: SocketAddr,
    requests: UnboundedReceiver<Recorded>,
}

/// One request. Its connection is read on once this is dropped.
pub struct Recorded {
    bytes: Vec<u8>,
    to_connection: UnboundedSender<Command>,
}

enum Command {
    Write(String),
    Close,
}

impl Recorder {
    /// Starts one that leaves each answer to the test.
    pub async fn start() -> Self {
        Self::start_with(String::new(), |_, _| None).await
    }

    /// Starts one that gives some answers itself, from the request and `material`.
    pub async fn start_with(material: String, answer: AnswerAtOnce) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (to_test, requests) = unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(record(stream, material.clone(), answer, to_test.clone()));
            }
        });
        Self { addr, requests }
    }

    /// The next request, whatever it is.
    pub async fn next(&mut self) -> Recorded {
        soon("a request", self.requests.recv()).await.expect("a recorder")
    }

    /// The next request that begins so.
    pub async fn next_of(&mut self, start: &str) -> Recorded {
        loop {
            let request = self.next().await;
            if request.bytes.starts_with(start.as_bytes()) {
                return request;
            }
        }
    }
}

impl Recorded {
    /// The request as golden files have it.
    pub fn text(&self) -> String {
        printable(&self.bytes)
    }

    /// Writes bytes of an answer.
    pub fn write(&self, text: &str) {
        assert!(self.to_connection.send(Command::Write(text.to_owned())).is_ok(), "the connection is gone");
    }

    /// Writes a whole answer without a body.
    pub fn answer(self, status: &str) {
        self.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    }

    /// Ends the connection.
    pub fn close(self) {
        assert!(self.to_connection.send(Command::Close).is_ok(), "the connection is gone");
    }
}

/// Records what comes over a connection, until it ends.
async fn record(
    mut stream: TcpStream,
    material: String,
    answer: AnswerAtOnce,
    to_test: UnboundedSender<Recorded>,
) {
    while let Some(bytes) = read_request(&mut stream).await {
        let (text, closes) = match answer(&String::from_utf8_lossy(&bytes), &material) {
            Some(AtOnce::Closing(text)) => (text, true),
            Some(AtOnce::Open(text)) => (text, false),
            None => (String::new(), false),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let (to_connection, mut commands) = unbounded_channel();
        if to_test.send(Recorded { bytes, to_connection }).is_err() || closes {
            return;
        }
        while let Some(command) = commands.recv().await {
            match command {
                Command::Write(text) if stream.write_all(text.as_bytes()).await.is_ok() => {}
                Command::Write(_) | Command::Close => return,
            }
        }
    }
}

/// Reads one request to the end of its body; nothing if the connection ends first.
async fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            assert!(!head.contains("transfer-encoding"), "no request of the program comes in chunks: {head}");
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.map_or(0, |length| length.parse().expect("a length"));
            if body.len() >= length {
                assert_eq!(body.len(), length, "more than one request came at once: {text}");
                return Some(bytes);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}
