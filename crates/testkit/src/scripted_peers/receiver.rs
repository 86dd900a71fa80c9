//! A receiver with scripted HTTP responses.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::http_server::{Reply, listen, reply};
use super::with_timeout;

/// Delay before a connection is closed after its response, so that the response is written first.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// A call that a receiver has read completely.
#[derive(Debug)]
pub struct Call {
    /// Id of the message, from the header `X-Txn`; empty without one.
    pub message_id: String,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the last byte of the request was read.
    pub at: Instant,
}

/// Response to a call.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedResponse {
    /// A response with a status.
    Status(u16),
    /// A response with a status and a header of this name and value.
    StatusWithHeader(u16, &'static str, &'static str),
    /// A response with status 200 and without `Connection: close`, after which the connection is closed.
    OkThenClose,
    /// No response while the connection is open.
    NoResponse,
    /// No response; the connection is closed.
    Disconnect,
}

/// A receiver with scripted responses. Calls after the last scripted response get status 200.
#[derive(Debug)]
pub struct Receiver {
    /// Address at which senders reach the receiver.
    pub addr: SocketAddr,
    /// All calls, in the order of their arrival.
    pub calls: UnboundedReceiver<Call>,
    script: Arc<Mutex<VecDeque<ScriptedResponse>>>,
}

/// State of a receiver that the server of one connection uses.
#[derive(Clone)]
struct Connection {
    calls: UnboundedSender<Call>,
    script: Arc<Mutex<VecDeque<ScriptedResponse>>>,
    /// Notified when the connection is to be closed.
    close: Arc<Notify>,
}

impl Connection {
    /// Serves a stream until it ends or the script closes it.
    async fn serve(self, stream: TcpStream) {
        let close = self.close.clone();
        let service = service_fn(move |request| self.clone().answer(request));
        let server = hyper::server::conn::http1::Builder::new();
        let mut serving = std::pin::pin!(server.serve_connection(TokioIo::new(stream), service));
        let closed = async {
            close.notified().await;
            tokio::task::yield_now().await;
            tokio::time::sleep(CLOSE_DELAY).await;
        };
        tokio::select! {
            _ = serving.as_mut() => {}
            () = closed => {}
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Reply, &'static str> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| "the body of the request is incomplete")?.to_bytes();
        let message_id = head.headers.get("x-txn").and_then(|value| value.to_str().ok());
        let message_id = message_id.unwrap_or_default().to_owned();
        let response = self.script.lock().expect("a script").pop_front();
        let _ = self.calls.send(Call { message_id, headers: head.headers, body, at: Instant::now() });
        match response.unwrap_or(ScriptedResponse::Status(200)) {
            ScriptedResponse::Status(status) => Ok(reply(status)),
            ScriptedResponse::StatusWithHeader(status, name, value) => {
                let mut reply = reply(status);
                reply.headers_mut().insert(name, value.parse().expect("a value"));
                Ok(reply)
            }
            ScriptedResponse::OkThenClose => {
                self.close.notify_one();
                Ok(reply(200))
            }
            ScriptedResponse::NoResponse => std::future::pending().await,
            ScriptedResponse::Disconnect => Err("disconnected by the script"),
        }
    }
}

impl Receiver {
    /// Starts a receiver with these responses to its first calls.
    pub async fn start(responses: &[ScriptedResponse]) -> Self {
        let (listener, addr) = listen().await;
        let (call_sender, calls) = unbounded_channel();
        let script = Arc::new(Mutex::new(VecDeque::from(responses.to_vec())));
        let shared_script = script.clone();
        // The task and those of the connections end with the runtime.
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (calls, script) = (call_sender.clone(), shared_script.clone());
                let connection = Connection { calls, script, close: Arc::new(Notify::new()) };
                tokio::spawn(connection.serve(stream));
            }
        });
        Self { addr, calls, script }
    }

    /// Adds responses to the end of the script.
    pub fn then(&self, responses: &[ScriptedResponse]) {
        self.script.lock().expect("a script").extend(responses);
    }

    /// Waits for the next call.
    pub async fn next_call(&mut self) -> Call {
        with_timeout("a call", self.calls.recv()).await.expect("a receiver")
    }

    /// Whether all calls that have arrived were returned by [`Self::next_call`].
    pub fn has_no_calls(&mut self) -> bool {
        self.calls.try_recv().is_err()
    }
}
