mod closing;

use std::net::SocketAddr;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use super::*;
use crate::event::Answer;

const REQUEST: &[u8] = b"POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: m1\r\nX-Remaining: 5\r\n\
    X-Route-To: dest=7\r\nContent-Length: 4\r\n\r\ntext";
const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
/// Nothing here takes so long unless it is broken.
const PATIENCE: Duration = Duration::from_secs(20);
const PLACES: usize = 8;

/// The clients' side of a sender, without its engine.
struct World {
    inbound: Rc<Inbound>,
    addr: SocketAddr,
    inputs: mpsc::Receiver<Input>,
    door: watch::Sender<AdmissionState>,
}

impl World {
    async fn set_up() -> Self {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
            "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
        let settings = rudderspindle_policy::settings::read(&json).expect("settings");
        let names = rudderspindle_policy::settings::names(&json).expect("names");
        let (to_engine, inputs) = mpsc::channel(16);
        let (door, at_the_door) = watch::channel(AdmissionState::Accepting);
        let metrics = Rc::new(Metrics::new(&names.classes));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let limits = Limits { sockets: PLACES, body_bytes: MAX_BODY };
        let inbound = Rc::new(Inbound::new(settings, names, limits, metrics, to_engine, at_the_door));
        spawn_local(inbound.clone().run(listener));
        Self { inbound, addr, inputs, door }
    }

    async fn client(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("a client")
    }

    /// A client that has been answered and rests, and its number.
    async fn resting(&self) -> (TcpStream, ClientId) {
        let mut client = self.client().await;
        client.write_all(READY).await.expect("writable");
        assert_eq!(answer(&mut client).await, 200);
        (client, *self.inbound.clients.borrow().keys().last().expect("a connection"))
    }

    async fn input(&mut self) -> Input {
        let input = timeout(PATIENCE, self.inputs.recv()).await;
        input.expect("in time").expect("an input")
    }

    /// Writes on a connection without letting the runtime hear of it: what comes next meets bytes that are there and
    /// that nobody has read.
    fn slip_in(&self, client: &TcpStream, id: ClientId, bytes: &[u8]) {
        assert_eq!(SockRef::from(client).send(bytes).expect("writable"), bytes.len());
        while !self.inbound.has_unread(id) {
            std::thread::yield_now();
        }
    }

    /// A message is taken on, and its client hears it; then the connection ends well.
    async fn takes_on(&mut self, client: &mut TcpStream) {
        let heard = async {
            // Not by the engine's patience: a connection that has ended says at once that the request is lost.
            let mut first = [0; 1];
            assert_eq!(client.peek(&mut first).await.expect("no reset"), 1, "it ended without an answer");
        };
        let taken = async {
            let Some(Input::Submitted(submission)) = self.inputs.recv().await else {
                panic!("not handed in")
            };
            submission.answer.send(Answer::Accepted).expect("it waits");
            std::future::pending::<()>().await
        };
        let either = async {
            tokio::select! { () = heard => {}, () = taken => {} }
        };
        timeout(PATIENCE, either).await.expect("in time");
        assert_eq!(answer(client).await, 202);
    }
}

/// The status of the next answer, which is read whole.
async fn answer(client: &mut TcpStream) -> u16 {
    let mut seen = Vec::new();
    let length = |head: &str| {
        let value = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        value.map_or(0, |value| value.parse::<usize>().expect("a length"))
    };
    loop {
        let text = String::from_utf8_lossy(&seen);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= length(head)
        {
            return head[9..12].parse().expect("a status");
        }
        let read = timeout(PATIENCE, client.read_buf(&mut seen)).await.expect("in time");
        assert_ne!(read.expect("no reset"), 0, "it ended within {:?}", String::from_utf8_lossy(&seen));
    }
}

/// Lets everything go on until it is so.
async fn until(so: impl Fn() -> bool) {
    let since = std::time::Instant::now();
    while !so() {
        assert!(since.elapsed() < PATIENCE, "in vain");
        tokio::task::yield_now().await;
    }
}

/// The clock stands still while this is kept, but not for good: a test that waits in vain ends.
fn frozen() -> std::sync::mpsc::Sender<()> {
    let (kept, gone) = std::sync::mpsc::channel();
    tokio::task::spawn_blocking(move || gone.recv_timeout(PATIENCE));
    kept
}

#[tokio::test]
async fn a_client_gone_before_its_answer_was_written_withdraws_its_message() {
    let test = async {
        let mut world = World::set_up().await;
        let mut client = world.client().await;
        client.write_all(REQUEST).await.expect("writable");
        let Input::Submitted(submission) = world.input().await else { panic!("not handed in") };
        drop(client);
        let Input::Withdrawn(number) = world.input().await else { panic!("not withdrawn") };
        assert_eq!(number, submission.number);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_client_that_leaves_after_its_answer_withdraws_nothing() {
    let test = async {
        let mut world = World::set_up().await;
        let mut client = world.client().await;
        client.write_all(REQUEST).await.expect("writable");
        let Input::Submitted(submission) = world.input().await else { panic!("not handed in") };
        submission.answer.send(Answer::Accepted).expect("it waits");
        let mut head = [0; 12];
        client.read_exact(&mut head).await.expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 202");
        drop(client);
        let next = timeout(Duration::from_millis(200), world.inputs.recv()).await;
        assert!(next.is_err(), "{next:?}");
    };
    LocalSet::new().run_until(test).await;
}
