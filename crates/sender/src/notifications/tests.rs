//! Delivery of notifications to a scripted platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_journal::{PendingNotification, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

use super::Notifications;
use crate::event::Input;

/// Timeout of each step, far longer than any step takes unless the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum delay of a repeated notification; one that arrives later counts as lost.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_millis(300);
const ACKNOWLEDGEMENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Waits for `future`; the test fails after [`TEST_TIMEOUT`].
async fn in_time<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, future).await.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Accepts the next connection and reads a complete notification from it.
async fn accept_notification(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = in_time("a connection", listener.accept()).await.expect("a connection");
    let mut received = Vec::new();
    while !received.ends_with(b"}\n") {
        let read = in_time("a notification", stream.read_buf(&mut received)).await.expect("readable");
        assert!(read > 0, "the request ends early");
    }
    stream
}

/// A delivery that runs until the end of the test.
struct RunningDelivery {
    notifications: Rc<Notifications>,
    inputs: mpsc::Receiver<Input>,
    /// Held so that the channel of the address stays open.
    _address: watch::Sender<SocketAddr>,
}

fn start_delivery(at: SocketAddr) -> RunningDelivery {
    let (_address, address) = watch::channel(at);
    let (engine, inputs) = mpsc::channel(16);
    let notifications = Rc::new(Notifications::default());
    spawn_local({
        let notifications = notifications.clone();
        async move { notifications.run(address, engine).await }
    });
    RunningDelivery { notifications, inputs, _address }
}

impl RunningDelivery {
    fn push(&self, message_id: &str) {
        self.notifications
            .push(PendingNotification { message_id: message_id.into(), status: Status::Undeliverable });
    }

    async fn next_acknowledged(&mut self) -> Vec<String> {
        match in_time("an acknowledgement", self.inputs.recv()).await {
            Some(Input::NotificationsAcknowledged(message_ids)) => {
                message_ids.iter().map(ToString::to_string).collect()
            }
            other => panic!("input is {other:?}: must be acknowledged notifications"),
        }
    }
}

/// The platform has not responded to the first eight requests.
#[tokio::test]
async fn a_notification_arrives_in_time_once_the_platform_responds() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut delivery = start_delivery(platform.local_addr().expect("an address"));
        delivery.push("a");
        let mut unanswered = Vec::new();
        for _ in 0..8 {
            unanswered.push(accept_notification(&platform).await);
        }
        let since = Instant::now();
        let mut stream = accept_notification(&platform).await;
        assert!(since.elapsed() < MAX_NOTIFICATION_DELAY, "{:?}", since.elapsed());
        stream.write_all(ACKNOWLEDGEMENT).await.expect("writable");
        assert_eq!(delivery.next_acknowledged().await, ["a"]);
        assert!(delivery.notifications.is_idle());
    };
    LocalSet::new().run_until(test).await;
}

/// A response also counts after the next request has begun; otherwise a slow platform could not acknowledge any
/// notification.
#[tokio::test]
async fn a_late_acknowledgement_is_accepted() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut delivery = start_delivery(platform.local_addr().expect("an address"));
        delivery.push("a");
        let mut first = accept_notification(&platform).await;
        let mut unanswered = vec![accept_notification(&platform).await, accept_notification(&platform).await];
        // Pushed after the first request, which therefore does not contain it.
        delivery.push("b");
        unanswered.push(accept_notification(&platform).await);
        first.write_all(ACKNOWLEDGEMENT).await.expect("writable");
        assert_eq!(delivery.next_acknowledged().await, ["a"]);
        let mut buffer = Vec::new();
        while !buffer.ends_with(b"}\n") {
            assert!(in_time("the idle connection", first.read_buf(&mut buffer)).await.expect("readable") > 0);
        }
        assert!(
            !String::from_utf8_lossy(&buffer).contains("\"a\""),
            "the acknowledged notification was sent again"
        );
        first.write_all(ACKNOWLEDGEMENT).await.expect("writable");
        assert_eq!(delivery.next_acknowledged().await, ["b"]);
    };
    LocalSet::new().run_until(test).await;
}

/// The connection is closed within the head of the response, or reset before the response.
#[tokio::test]
async fn a_notification_whose_acknowledgement_is_lost_is_repeated() {
    let test = async {
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut delivery = start_delivery(platform.local_addr().expect("an address"));
        delivery.push("a");
        let mut stream = accept_notification(&platform).await;
        stream.write_all(&ACKNOWLEDGEMENT[..20]).await.expect("writable");
        drop(stream);
        let stream = accept_notification(&platform).await;
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
        drop(stream);
        let since = Instant::now();
        let mut stream = accept_notification(&platform).await;
        assert!(since.elapsed() < MAX_NOTIFICATION_DELAY, "{:?}", since.elapsed());
        stream.write_all(ACKNOWLEDGEMENT).await.expect("writable");
        assert_eq!(delivery.next_acknowledged().await, ["a"]);
    };
    LocalSet::new().run_until(test).await;
}
