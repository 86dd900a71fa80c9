//! Notices before a platform that answers on cue, or does not.

use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

use super::*;

const BROKEN: Duration = Duration::from_secs(20);
/// So late after a message's time its notice is lost.
const LOST: Duration = Duration::from_millis(300);
const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

async fn soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(BROKEN, future).await.unwrap_or_else(|_| panic!("in vain: {what}"))
}

/// The next connection with a whole notice.
async fn notified(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = soon("a connection", listener.accept()).await.expect("a connection");
    let mut seen = Vec::new();
    while !seen.ends_with(b"}\n") {
        let read = soon("a notice", stream.read_buf(&mut seen)).await.expect("readable");
        assert!(read > 0, "the request ends early");
    }
    stream
}

struct Sending {
    reports: Rc<Notifications>,
    inputs: mpsc::Receiver<Input>,
    _address: watch::Sender<SocketAddr>,
}

fn begin(at: SocketAddr) -> Sending {
    let (_address, watched) = watch::channel(at);
    let (host, inputs) = mpsc::channel(16);
    let reports = Rc::new(Notifications::default());
    spawn_local({
        let reports = reports.clone();
        async move { reports.run(watched, host).await }
    });
    Sending { reports, inputs, _address }
}

impl Sending {
    fn push(&self, message_id: &str) {
        self.reports.push(Notice { message_id: message_id.into(), status: Status::Undeliverable });
    }

    async fn settled(&mut self) -> Vec<String> {
        match soon("an acknowledgement", self.inputs.recv()).await {
            Some(Input::NotificationsAcknowledged(message_ids)) => {
                message_ids.iter().map(|message_id| message_id.to_string()).collect()
            }
            other => panic!("{other:?}"),
        }
    }
}

/// However long connections have hung, the platform hears of a notice in time when it is back.
#[tokio::test]
async fn a_platform_that_is_back_hears_within_the_slack_however_long_it_was_silent() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut sending = begin(platform.local_addr().expect("an address"));
        sending.push("a");
        let mut held = Vec::new();
        for _ in 0..8 {
            held.push(notified(&platform).await);
        }
        let since = Instant::now();
        let mut stream = notified(&platform).await;
        assert!(since.elapsed() < LOST, "{:?}", since.elapsed());
        stream.write_all(TAKEN).await.expect("writable");
        assert_eq!(sending.settled().await, ["a"]);
        assert!(sending.reports.is_idle());
    };
    LocalSet::new().run_until(test).await;
}

/// An answer that comes later than the next request begins is one all the same: or a slow platform never settles any.
#[tokio::test]
async fn a_late_acknowledgement_counts() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut sending = begin(platform.local_addr().expect("an address"));
        sending.push("a");
        let mut first = notified(&platform).await;
        let mut held = vec![notified(&platform).await, notified(&platform).await];
        // Pushed later, and in none of the first one's bytes.
        sending.push("b");
        held.push(notified(&platform).await);
        first.write_all(TAKEN).await.expect("writable");
        assert_eq!(sending.settled().await, ["a"]);
        let mut buffer = Vec::new();
        while !buffer.ends_with(b"}\n") {
            assert!(soon("the kept connection", first.read_buf(&mut buffer)).await.expect("readable") > 0);
        }
        assert!(!String::from_utf8_lossy(&buffer).contains("\"a\""), "said twice");
        first.write_all(TAKEN).await.expect("writable");
        assert_eq!(sending.settled().await, ["b"]);
    };
    LocalSet::new().run_until(test).await;
}

/// The 204 breaks off in its head, or never comes and the connection is reset: the notice is made again.
#[tokio::test]
async fn a_notice_whose_acknowledgement_is_lost_is_made_again() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut sending = begin(platform.local_addr().expect("an address"));
        sending.push("a");
        let mut stream = notified(&platform).await;
        stream.write_all(&TAKEN[..20]).await.expect("writable");
        drop(stream);
        let stream = notified(&platform).await;
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
        drop(stream);
        let since = Instant::now();
        let mut stream = notified(&platform).await;
        assert!(since.elapsed() < LOST, "{:?}", since.elapsed());
        stream.write_all(TAKEN).await.expect("writable");
        assert_eq!(sending.settled().await, ["a"]);
    };
    LocalSet::new().run_until(test).await;
}
