//! A receiver whose responses are scripted as raw bytes, such as malformed ones.

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
/// Pause that an empty part of a response stands for.
const PART_PAUSE: Duration = Duration::from_millis(800);
/// Last bytes of every request's body, by which its end is recognized. No request header may end with them.
const BODY_END: &[u8] = b"text";

/// The next responses, each in parts that are written separately.
type Responses = Arc<Mutex<VecDeque<Vec<Vec<u8>>>>>;

/// A call that was read from a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawCall {
    /// Number of the connection, counted from 0 in the order of acceptance.
    pub connection: usize,
    /// Id of the message.
    pub message_id: String,
}

impl RawCall {
    /// Creates a call with the id of its message.
    pub fn new(connection: usize, message_id: impl Into<String>) -> Self {
        Self { connection, message_id: message_id.into() }
    }
}

/// A receiver that writes its scripted responses unchanged and never closes a connection.
#[derive(Debug)]
pub struct MalformedResponder {
    /// Address at which senders reach the receiver.
    pub addr: SocketAddr,
    /// All calls, in the order of their arrival.
    pub calls: UnboundedReceiver<RawCall>,
    responses: Responses,
}

impl MalformedResponder {
    /// Starts a receiver that responds with [`GOOD`] unless a response is scripted. The body of each call must end with
    /// `text`.
    pub async fn start() -> Self {
        let (listener, addr) = listen().await;
        let (call_sender, calls) = unbounded_channel();
        let responses = Responses::default();
        let shared_responses = responses.clone();
        // The task and those of the connections end with the runtime.
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                tokio::spawn(serve(stream, connection, call_sender.clone(), shared_responses.clone()));
            }
        });
        Self { addr, calls, responses }
    }

    /// Adds a response to the end of the script. Its parts are written one by one; an empty part is a pause of 800 ms.
    pub fn then(&self, parts: &[&[u8]]) {
        let parts = parts.iter().map(|part| part.to_vec()).collect();
        self.responses.lock().expect("a script").push_back(parts);
    }

    /// Waits for the next call.
    pub async fn next_call(&mut self) -> RawCall {
        with_timeout("a call", self.calls.recv()).await.expect("a receiver")
    }
}

async fn serve(stream: TcpStream, connection: usize, calls: UnboundedSender<RawCall>, responses: Responses) {
    let (mut from, mut to) = stream.into_split();
    let mut request = Vec::new();
    while let Ok(1..) = from.read_buf(&mut request).await {
        if !request.ends_with(BODY_END) {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let message_id = text.lines().find_map(|line| line.strip_prefix("x-txn: ")).unwrap_or_default();
        let _ = calls.send(RawCall::new(connection, message_id));
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
