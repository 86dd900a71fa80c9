//! A peer of the program that records each request byte for byte and answers as the test directs.

use std::net::SocketAddr;

use rudderspindle_testkit::scripted_peers::with_timeout;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::expected::printable;

/// The head of a response whose body ends with the connection.
pub const OPEN_ENDED: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// A response that a recorder writes without the test.
pub enum AtOnce {
    /// The connection is closed after it.
    Closing(String),
    /// The connection stays open, and the test may write more.
    Open(String),
}

/// Gives the response to a request, from the request and a fixed text; `None` leaves it to the test.
pub type AnswerAtOnce = fn(&str, &str) -> Option<AtOnce>;

/// A listener whose requests are recorded.
pub struct Recorder {
    pub addr: SocketAddr,
    requests: UnboundedReceiver<Recorded>,
}

/// A recorded request. The next one on its connection is read when this is dropped.
pub struct Recorded {
    bytes: Vec<u8>,
    to_connection: UnboundedSender<Command>,
}

enum Command {
    Write(String),
    Close,
}

impl Recorder {
    /// Starts a recorder whose requests the test answers.
    pub async fn start() -> Self {
        Self::start_with(String::new(), |_, _| None).await
    }

    /// Starts a recorder that answers some requests itself, from the request and `material`.
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
        with_timeout("a request", self.requests.recv()).await.expect("a recorder")
    }

    /// The next request that starts with `start`.
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
    /// The request in the form of the golden files.
    pub fn text(&self) -> String {
        printable(&self.bytes)
    }

    /// Writes a part of a response.
    pub fn write(&self, text: &str) {
        assert!(self.to_connection.send(Command::Write(text.to_owned())).is_ok(), "the connection is gone");
    }

    /// Writes a response without a body.
    pub fn answer(self, status: &str) {
        self.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    }

    /// Closes the connection.
    pub fn close(self) {
        assert!(self.to_connection.send(Command::Close).is_ok(), "the connection is gone");
    }
}

/// Records the requests of a connection until it ends.
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

/// Reads one request; `None` if the connection ends first.
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
