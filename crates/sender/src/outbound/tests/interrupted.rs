//! Tests that interrupted calls are not received later, and that retries with an idempotency key are not received after
//! the window of the key.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_policy::interface::{Listing, Outcome, RouteId};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::super::Outbound;
use super::{
    LARGE_BODY_LEN, ROUTE, call, complete_call, listener_with_small_buffers, next_call_outcome, read_to_end,
    respond, route, set_up, set_up_with, take_idle_connection,
};
use crate::event::{Call, Input};

/// Length of a body that the system buffers completely on a connection of [`listener_with_small_buffers`] that is not
/// read.
const MEDIUM_BODY_LEN: usize = 8_000;

/// A call with a body of `size` bytes.
fn call_of_size(size: usize) -> Call {
    Call { body: Bytes::from(vec![b'x'; size]), ..call() }
}

async fn set_up_listener_with_small_buffers() -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
    let (outbound, _, inputs) = set_up().await;
    let listener = listener_with_small_buffers();
    outbound.update_route(ROUTE, route(listener.local_addr().expect("listener address"), Listing::Ready));
    (outbound, listener, inputs)
}

async fn next_outcome(inputs: &mut mpsc::Receiver<Input>) -> Outcome {
    let call_outcome = next_call_outcome(inputs).await;
    call_outcome.outcome
}

/// The buffered bytes of an interrupted call must not be sent, because the receiver could then execute the call.
#[tokio::test]
async fn nothing_of_a_call_arrives_after_it_was_interrupted() {
    let test = async {
        let deadline = || Instant::now() + Duration::from_secs(1);
        for (size, cancelled, expected) in [
            (MEDIUM_BODY_LEN, false, Outcome::Timeout),
            (LARGE_BODY_LEN, false, Outcome::ConnectFailed),
            (MEDIUM_BODY_LEN, true, Outcome::Cancelled),
            (LARGE_BODY_LEN, true, Outcome::NotSent),
        ] {
            let (outbound, listener, mut inputs) = set_up_listener_with_small_buffers().await;
            let call = call_of_size(size);
            let handle = outbound.start_call(if cancelled {
                call
            } else {
                Call { response_deadline: deadline(), ..call }
            });
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            stream.readable().await.expect("the first bytes");
            if cancelled {
                let call_counted = || outbound.metrics.to_json().contains("\"relayed\":1,");
                while expected == Outcome::Cancelled && !call_counted() {
                    tokio::task::yield_now().await;
                }
                handle.cancel();
            }
            assert_eq!(next_outcome(&mut inputs).await, expected);
            let received = read_to_end(&mut stream).await;
            assert!(received < size, "{expected:?}: received {received} of {size} bytes");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The last byte of a retry is written in time, but the receiver does not accept it before the key's window ends. The
/// system discards the unacknowledged bytes at that time, although the response deadline is later.
#[tokio::test]
async fn a_buffered_retry_is_not_received_after_the_key_window() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_listener_with_small_buffers().await;
        let write_deadline = Instant::now() + Duration::from_secs(1);
        let response_deadline = write_deadline + Duration::from_secs(4);
        let idempotency_key = Some(Bytes::from_static(b"k"));
        outbound.start_call(Call {
            response_deadline,
            write_deadline,
            idempotency_key,
            attempt: 1,
            ..call_of_size(MEDIUM_BODY_LEN)
        });
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        // The retry may have been executed, because its last byte was written.
        assert_eq!(next_outcome(&mut inputs).await, Outcome::Reset);
        assert!(Instant::now() < response_deadline);
        assert!(read_to_end(&mut stream).await < MEDIUM_BODY_LEN, "the whole body was received");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The limit on unacknowledged bytes applies to the retry, and not to later calls over the same connection.
#[tokio::test]
async fn the_limit_of_a_keyed_retry_ends_with_the_retry() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let keyed_retry = Call { idempotency_key: Some(Bytes::from_static(b"k")), attempt: 1, ..call() };
        let _stream = complete_call(&outbound, &listener, &mut inputs, keyed_retry).await;
        let connection = take_idle_connection(&outbound).await;
        let socket = connection.socket.upgrade().expect("an open socket");
        let limit = SockRef::from(&*socket.borrow()).tcp_user_timeout().expect("read the socket option");
        assert_eq!(limit, None);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// All slots are taken, and one connection is idle. That connection is closed to free a slot for the call, which does
/// not count as a failed attempt.
#[tokio::test]
async fn a_call_without_a_free_slot_replaces_an_idle_connection() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_with(1).await;
        let mut stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let other_listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a loopback port");
        outbound.update_route(
            RouteId(2),
            route(other_listener.local_addr().expect("listener address"), Listing::Ready),
        );
        outbound.start_call(Call { route: RouteId(2), ..call() });
        let accepted = async {
            let (mut stream, _) = other_listener.accept().await.expect("accept a connection");
            respond(&mut stream, "200 OK").await;
            std::future::pending::<()>().await;
        };
        let received_outcome = tokio::select! {
            received_outcome = next_outcome(&mut inputs) => received_outcome,
            () = accepted => unreachable!(),
        };
        assert_eq!(received_outcome, Outcome::Ok);
        // The idle connection is closed without a reset.
        assert_eq!(stream.read(&mut [0; 8]).await.expect("end of the connection"), 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
