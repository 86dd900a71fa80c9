//! Receivers that answer every call with 200 after a fixed time, with little CPU.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::framing::MessageHead;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The receivers, one for each destination.
pub(super) struct Receivers {
    /// Where they listen, by destination.
    pub addrs: Vec<SocketAddr>,
    calls: Arc<AtomicU64>,
    /// One listener each; they end when this is dropped.
    _listeners: JoinSet<()>,
}

impl Receivers {
    /// Starts receivers on free ports.
    pub async fn start(count: usize, service_time: Duration) -> io::Result<Self> {
        let calls = Arc::new(AtomicU64::new(0));
        let mut addrs = Vec::new();
        let mut listeners = JoinSet::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            listeners.spawn(listen(listener, service_time, calls.clone()));
        }
        Ok(Self { addrs, calls, _listeners: listeners })
    }

    /// Calls that all receivers answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn listen(listener: TcpListener, service_time: Duration, calls: Arc<AtomicU64>) {
    while let Ok((stream, _)) = listener.accept().await {
        // The task ends with its connection, at the latest with the runtime.
        tokio::spawn(serve(stream, service_time, calls.clone()));
    }
}

async fn serve(mut stream: TcpStream, service_time: Duration, calls: Arc<AtomicU64>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut bytes = Vec::with_capacity(1_024);
    loop {
        while let Some(length) = complete_message_len(&bytes) {
            bytes.drain(..length);
            if !service_time.is_zero() {
                sleep(service_time).await;
            }
            calls.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(RESPONSE).await.is_err() {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return;
        }
    }
}

/// The length of the first message, if it has arrived with its body.
fn complete_message_len(bytes: &[u8]) -> Option<usize> {
    let length = MessageHead::parse(bytes)?.message_len;
    (bytes.len() >= length).then_some(length)
}
