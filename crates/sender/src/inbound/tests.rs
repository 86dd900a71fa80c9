//! Tests client connections over loopback sockets. The test acts as the engine.

mod closing;
mod open_bodies;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_journal::MAX_BODY;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::{Inbound, Limits};
use crate::admission_state::AdmissionState;
use crate::connection_slots::ConnectionId;
use crate::event::{Input, SubmissionResponse};
use crate::metrics::Metrics;

const SUBMISSION: &[u8] = b"POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: m1\r\nX-Remaining: 5\r\n\
    X-Route-To: dest=7\r\nContent-Length: 4\r\n\r\ntext";
const READINESS_CHECK: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
/// Timeout of each step, far longer than any step takes unless the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 8;

/// The inbound side of a sender, without its engine.
struct InboundTest {
    inbound: Rc<Inbound>,
    addr: SocketAddr,
    inputs: mpsc::Receiver<Input>,
    admission_state: watch::Sender<AdmissionState>,
}

impl InboundTest {
    async fn set_up() -> Self {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
            "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
        let settings = rudderspindle_policy::settings::read(&json).expect("valid settings");
        let names = rudderspindle_policy::settings::names(&json).expect("valid names");
        let (to_engine, inputs) = mpsc::channel(16);
        let (admission_state, observed_state) = watch::channel(AdmissionState::Accepting);
        let metrics = Rc::new(Metrics::new(&names.classes));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a loopback port");
        let addr = listener.local_addr().expect("listener address");
        let limits = Limits { max_connections: MAX_CONNECTIONS, max_open_body_bytes: MAX_BODY };
        let inbound = Rc::new(Inbound::new(settings, names, limits, metrics, to_engine, observed_state));
        spawn_local(inbound.clone().run(listener));
        Self { inbound, addr, inputs, admission_state }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("connect to the listener")
    }

    /// A client whose connection is idle after a response, and the connection's id.
    async fn connect_idle(&self) -> (TcpStream, ConnectionId) {
        let mut client = self.connect().await;
        client.write_all(READINESS_CHECK).await.expect("write to the connection");
        assert_eq!(read_status(&mut client).await, 200);
        (client, *self.inbound.connections.borrow().keys().last().expect("an open connection"))
    }

    async fn next_input(&mut self) -> Input {
        let input = timeout(TEST_TIMEOUT, self.inputs.recv()).await;
        input.expect("completion within the timeout").expect("an open engine channel")
    }

    /// Writes to a connection while the runtime does not poll it, so that the bytes are received but not read.
    fn write_without_polling(&self, client: &TcpStream, id: ConnectionId, bytes: &[u8]) {
        assert_eq!(SockRef::from(client).send(bytes).expect("write to the connection"), bytes.len());
        while !self.inbound.has_unread(id) {
            std::thread::yield_now();
        }
    }

    /// Asserts that the client's message is submitted, accepts it, and asserts that the response has status 202.
    async fn expect_accepted(&mut self, client: &mut TcpStream) {
        let responded = async {
            // This fails immediately, without the timeout, if the connection has ended.
            let mut first_byte = [0; 1];
            assert_eq!(
                client.peek(&mut first_byte).await.expect("connection without a reset"),
                1,
                "connection ended without a response"
            );
        };
        let accepted = async {
            let Some(Input::Submitted(submission)) = self.inputs.recv().await else {
                panic!("expected a submission")
            };
            submission
                .response_sender
                .send(SubmissionResponse::Accepted)
                .expect("a request that waits for the response");
            std::future::pending::<()>().await;
        };
        let first_completed = async {
            tokio::select! { () = responded => {}, () = accepted => {} }
        };
        timeout(TEST_TIMEOUT, first_completed).await.expect("completion within the timeout");
        assert_eq!(read_status(client).await, 202);
    }
}

/// Reads the next response to its end; returns its status.
async fn read_status(client: &mut TcpStream) -> u16 {
    let mut received = Vec::new();
    let length = |head: &str| {
        let value = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        value.map_or(0, |value| value.parse::<usize>().expect("a numeric content length"))
    };
    loop {
        let text = String::from_utf8_lossy(&received);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= length(head)
        {
            return head[9..12].parse().expect("a numeric status");
        }
        let read = timeout(TEST_TIMEOUT, client.read_buf(&mut received))
            .await
            .expect("completion within the timeout");
        assert_ne!(
            read.expect("connection without a reset"),
            0,
            "connection ended after {:?}",
            String::from_utf8_lossy(&received)
        );
    }
}

/// Lets other tasks run until `condition` holds.
async fn wait_until(condition: impl Fn() -> bool) {
    let started_at = std::time::Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "condition does not hold after {TEST_TIMEOUT:?}");
        tokio::task::yield_now().await;
    }
}

/// Keeps the paused clock from advancing automatically while the guard exists, for [`TEST_TIMEOUT`] at most.
fn freeze_clock() -> std::sync::mpsc::Sender<()> {
    let (guard, released) = std::sync::mpsc::channel();
    tokio::task::spawn_blocking(move || released.recv_timeout(TEST_TIMEOUT));
    guard
}

/// The client disconnects after its submission and before its response is written.
#[tokio::test]
async fn a_disconnect_before_the_response_withdraws_the_message() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        client.write_all(SUBMISSION).await.expect("write to the connection");
        let Input::Submitted(submission) = setup.next_input().await else { panic!("expected a submission") };
        drop(client);
        let Input::Withdrawn(id) = setup.next_input().await else { panic!("expected a withdrawal") };
        assert_eq!(id, submission.id);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_disconnect_after_the_response_withdraws_nothing() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        client.write_all(SUBMISSION).await.expect("write to the connection");
        let Input::Submitted(submission) = setup.next_input().await else { panic!("expected a submission") };
        submission
            .response_sender
            .send(SubmissionResponse::Accepted)
            .expect("a request that waits for the response");
        let mut head = [0; 12];
        client.read_exact(&mut head).await.expect("read the response");
        assert_eq!(&head, b"HTTP/1.1 202");
        drop(client);
        let next_input = timeout(Duration::from_millis(200), setup.inputs.recv()).await;
        assert!(next_input.is_err(), "{next_input:?}");
    };
    LocalSet::new().run_until(test).await;
}
