//! Interrupted calls, which must not arrive later, and retries with an idempotency key, which must not arrive after its
//! window.

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
    LARGE, ROUTE, call, complete_call, narrow, next_outcome, read_to_end, respond, route, set_up, set_up_with,
};
use crate::event::{Call, Input};

/// Length of a body that the system buffers completely while a [`narrow`] listener does not read.
const MEDIUM: usize = 8_000;

/// A call with a body of `size` bytes.
fn call_of_size(size: usize) -> Call {
    Call { body: Bytes::from(vec![b'x'; size]), ..call() }
}

async fn set_up_narrow() -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
    let (outbound, _, inputs) = set_up().await;
    let listener = narrow();
    outbound.update_route(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
    (outbound, listener, inputs)
}

async fn outcome(inputs: &mut mpsc::Receiver<Input>) -> Outcome {
    let call_outcome = next_outcome(inputs).await;
    call_outcome.outcome
}

/// Buffered bytes of a call are not sent after the call is interrupted: it could be executed later.
#[tokio::test]
async fn nothing_of_a_call_arrives_after_it_was_interrupted() {
    let test = async {
        let deadline = || Instant::now() + Duration::from_secs(1);
        for (size, cancelled, expected) in [
            (MEDIUM, false, Outcome::Timeout),
            (LARGE, false, Outcome::ConnectFailed),
            (MEDIUM, true, Outcome::Cancelled),
            (LARGE, true, Outcome::NotSent),
        ] {
            let (outbound, listener, mut inputs) = set_up_narrow().await;
            let call = call_of_size(size);
            let out = outbound.start_call(if cancelled {
                call
            } else {
                Call { response_deadline: deadline(), ..call }
            });
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.readable().await.expect("the first bytes");
            if cancelled {
                let relayed = || outbound.metrics.to_json().contains("\"relayed\":1,");
                while expected == Outcome::Cancelled && !relayed() {
                    tokio::task::yield_now().await;
                }
                out.cancel();
            }
            assert_eq!(outcome(&mut inputs).await, expected);
            let received = read_to_end(&mut stream).await;
            assert!(received < size, "{expected:?}: {received} bytes were received, all of it");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The last byte of a retry is written in time, but the receiver does not accept it before the window is over: the system
/// discards it then, although the response deadline is later.
#[tokio::test]
async fn a_retry_buffered_by_the_kernel_does_not_arrive_after_the_key_window() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_narrow().await;
        let write_deadline = Instant::now() + Duration::from_secs(1);
        let response_deadline = write_deadline + Duration::from_secs(4);
        let idempotency_key = Some(Bytes::from_static(b"k"));
        outbound.start_call(Call {
            response_deadline,
            write_deadline,
            idempotency_key,
            attempt: 1,
            ..call_of_size(MEDIUM)
        });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // It may have been executed: its last byte was written.
        assert_eq!(outcome(&mut inputs).await, Outcome::Reset);
        assert!(Instant::now() < response_deadline);
        assert!(read_to_end(&mut stream).await < MEDIUM, "all of it was received");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The limit applies to the retry and not to later calls on the same connection.
#[tokio::test]
async fn a_connection_that_carried_a_keyed_retry_has_no_limit_afterwards() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let keyed_retry = Call { idempotency_key: Some(Bytes::from_static(b"k")), attempt: 1, ..call() };
        let _stream = complete_call(&outbound, &listener, &mut inputs, keyed_retry).await;
        let connection = outbound.idle.take(ROUTE).expect("it is pooled");
        let socket = connection.socket.upgrade().expect("open");
        let limit = SockRef::from(&*socket.borrow()).tcp_user_timeout().expect("it can be read");
        assert_eq!(limit, None);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// All connections are open and one of them is idle: a call takes its slot without losing an attempt.
#[tokio::test]
async fn a_call_for_which_an_idle_connection_is_closed_is_sent_at_once() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_with(1).await;
        let mut stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        outbound.update_route(RouteId(2), route(other.local_addr().expect("an address"), Listing::Ready));
        outbound.start_call(Call { route: RouteId(2), ..call() });
        let accepted = async {
            let (mut stream, _) = other.accept().await.expect("a connection");
            respond(&mut stream, "200 OK").await;
            std::future::pending::<()>().await;
        };
        let found = tokio::select! {
            found = outcome(&mut inputs) => found,
            () = accepted => unreachable!(),
        };
        assert_eq!(found, Outcome::Ok);
        // The idle connection is closed without a reset.
        assert_eq!(stream.read(&mut [0; 8]).await.expect("an end"), 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
