//! A receiver that writes scripted bytes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::http_server::listen;
use super::soon;

/// A well-formed response.
pub const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Pause that an empty part of a response stands for.
const PART_PAUSE: Duration = Duration::from_millis(800);
/// End of every request's body, which no head ends with.
const BODY_END: &[u8] = b"text";

/// The parts of the responses to come.
type Responses = Arc<Mutex<VecDeque<Vec<Vec<u8>>>>>;

/// A receiver that writes its responses byte for byte, and keeps connections open.
#[derive(Debug)]
pub struct MalformedResponder {
    /// Its address.
    pub addr: SocketAddr,
    /// Each call: the number of its connection, and the message's id.
    pub calls: UnboundedReceiver<(usize, String)>,
    responses: Responses,
}

impl MalformedResponder {
    /// Starts one whose responses are well-formed until others are scripted. All bodies must end in `text`.
    pub async fn start() -> Self {
        let (listener, addr) = listen().await;
        let (call_to, calls) = unbounded_channel();
        let responses = Responses::default();
        let shared_responses = responses.clone();
        // Ends with the runtime, as do the connections' tasks.
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                tokio::spawn(serve(stream, number, call_to.clone(), shared_responses.clone()));
            }
        });
        Self { addr, calls, responses }
    }

    /// Scripts the response to the next call; an empty part is a pause.
    pub fn then(&self, parts: &[&[u8]]) {
        let parts = parts.iter().map(|part| part.to_vec()).collect();
        self.responses.lock().expect("a script").push_back(parts);
    }

    /// The next call: the number of its connection, and the message's id.
    pub async fn call(&mut self) -> (usize, String) {
        soon("a call", self.calls.recv()).await.expect("a receiver")
    }
}

async fn serve(
    stream: TcpStream,
    number: usize,
    call_to: UnboundedSender<(usize, String)>,
    responses: Responses,
) {
    let (mut from, mut to) = stream.into_split();
    let mut request = Vec::new();
    while let Ok(1..) = from.read_buf(&mut request).await {
        if !request.ends_with(BODY_END) {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let message_id = text.lines().find_map(|line| line.strip_prefix("x-txn: ")).unwrap_or_default();
        let _ = call_to.send((number, message_id.to_owned()));
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
