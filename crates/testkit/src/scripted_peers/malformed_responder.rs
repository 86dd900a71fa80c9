//! A receiver that writes scripted bytes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::http_server::listen;
use super::with_timeout;

/// A well-formed response.
pub const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Pause for an empty part of a response.
const PART_PAUSE: Duration = Duration::from_millis(800);
/// The last bytes of every request; no head ends with them.
const BODY_END: &[u8] = b"text";

/// The parts of the next responses.
type Responses = Arc<Mutex<VecDeque<Vec<Vec<u8>>>>>;

/// A call that was read from a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawCall {
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Id of the message.
    pub message_id: String,
}

impl RawCall {
    /// A call of a message on a connection.
    pub fn new(connection: usize, message_id: impl Into<String>) -> Self {
        Self { connection, message_id: message_id.into() }
    }
}

/// A receiver that writes its responses byte for byte, and keeps connections open.
#[derive(Debug)]
pub struct MalformedResponder {
    /// Its address.
    pub addr: SocketAddr,
    /// Each call.
    pub calls: UnboundedReceiver<RawCall>,
    responses: Responses,
}

impl MalformedResponder {
    /// Starts a responder whose responses are well-formed unless scripted. All bodies must end with `text`.
    pub async fn start() -> Self {
        let (listener, addr) = listen().await;
        let (call_sender, calls) = unbounded_channel();
        let responses = Responses::default();
        let shared_responses = responses.clone();
        // Ends with the runtime, as do the connections' tasks.
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                tokio::spawn(serve(stream, number, call_sender.clone(), shared_responses.clone()));
            }
        });
        Self { addr, calls, responses }
    }

    /// Scripts the response to the next call; an empty part is a pause.
    pub fn then(&self, parts: &[&[u8]]) {
        let parts = parts.iter().map(|part| part.to_vec()).collect();
        self.responses.lock().expect("a script").push_back(parts);
    }

    /// The next call.
    pub async fn next_call(&mut self) -> RawCall {
        with_timeout("a call", self.calls.recv()).await.expect("a receiver")
    }
}

async fn serve(stream: TcpStream, number: usize, calls: UnboundedSender<RawCall>, responses: Responses) {
    let (mut from, mut to) = stream.into_split();
    let mut request = Vec::new();
    while let Ok(1..) = from.read_buf(&mut request).await {
        if !request.ends_with(BODY_END) {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let message_id = text.lines().find_map(|line| line.strip_prefix("x-txn: ")).unwrap_or_default();
        let _ = calls.send(RawCall::new(number, message_id));
        request.clear();
        let parts = responses.lock().expect("a script").pop_front();
        for part in parts.unwrap_or_else(|| vec![GOOD.to_vec()]) {
            if part.is_empty() {
                tokio::time::sleep(PART_PAUSE).await;
            } else if to.write_all(&part).await.is_err() {
                return;
            }
        }
    }
}
