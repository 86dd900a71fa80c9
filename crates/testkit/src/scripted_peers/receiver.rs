//! A scripted receiver.

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
use super::soon;

/// Time in which a response is written before its connection is closed.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// A call as its receiver got it.
#[derive(Debug)]
pub struct Call {
    /// Id of the message.
    pub message_id: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it had come whole.
    pub at: Instant,
}

/// How a call is answered.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// A status, with a header.
    Say(u16, Option<(&'static str, &'static str)>),
    /// A 200 after which the connection is closed without `Connection: close`.
    SayAndClose,
    /// No response, ever.
    Hang,
    /// The connection is closed without a response.
    Break,
}

/// A receiver that answers as its script says, and with 200 after that.
#[derive(Debug)]
pub struct Receiver {
    /// Its address.
    pub addr: SocketAddr,
    /// Each call.
    pub calls: UnboundedReceiver<Call>,
    script: Arc<Mutex<VecDeque<Act>>>,
}

/// The server's side of a receiver, on one connection.
#[derive(Clone)]
struct Connection {
    call_to: UnboundedSender<Call>,
    script: Arc<Mutex<VecDeque<Act>>>,
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
        let body = body.collect().await.map_err(|_| "cut short")?.to_bytes();
        let message_id = head.headers.get("x-txn").and_then(|value| value.to_str().ok());
        let message_id = message_id.unwrap_or_default().to_owned();
        let act = self.script.lock().expect("a script").pop_front();
        let _ = self.call_to.send(Call { message_id, headers: head.headers, body, at: Instant::now() });
        match act.unwrap_or(Act::Say(200, None)) {
            Act::Say(status, header) => {
                let mut reply = reply(status);
                if let Some((name, value)) = header {
                    reply.headers_mut().insert(name, value.parse().expect("a value"));
                }
                Ok(reply)
            }
            Act::SayAndClose => {
                self.close.notify_one();
                Ok(reply(200))
            }
            Act::Hang => std::future::pending().await,
            Act::Break => Err("broken off"),
        }
    }
}

impl Receiver {
    /// Starts a receiver whose script begins with these acts.
    pub async fn start(acts: &[Act]) -> Self {
        let (listener, addr) = listen().await;
        let (call_to, calls) = unbounded_channel();
        let script = Arc::new(Mutex::new(VecDeque::from(acts.to_vec())));
        let shared_script = script.clone();
        // Ends with the runtime, as do the connections' tasks.
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (call_to, script) = (call_to.clone(), shared_script.clone());
                let connection = Connection { call_to, script, close: Arc::new(Notify::new()) };
                tokio::spawn(connection.serve(stream));
            }
        });
        Self { addr, calls, script }
    }

    /// Adds acts to the script's end.
    pub fn then(&self, acts: &[Act]) {
        self.script.lock().expect("a script").extend(acts);
    }

    /// The next call.
    pub async fn call(&mut self) -> Call {
        soon("a call", self.calls.recv()).await.expect("a receiver")
    }

    /// Whether no further call has come.
    pub fn nothing_called(&mut self) -> bool {
        self.calls.try_recv().is_err()
    }
}
