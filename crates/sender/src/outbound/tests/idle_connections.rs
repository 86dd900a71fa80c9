//! Idle connections and their use for further calls.

use std::time::Duration;

use rudderspindle_policy::interface::{Listing, Outcome};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::{ROUTE, call, complete_call, next, next_outcome, respond, route, set_up};

#[tokio::test]
async fn an_idle_connection_is_not_used_when_the_receiver_may_be_about_to_close_it() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let _stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let connection = outbound.idle.take(ROUTE).expect("it is pooled");
        let max_idle_time = outbound.idle.max_idle_time();
        let old = Instant::now() + Duration::from_secs(13);
        assert!(
            connection.is_reusable(Instant::now(), max_idle_time)
                && !connection.is_reusable(old, max_idle_time)
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Bytes received after a response may not have been read when the next call is sent; they would be taken for its
/// response.
#[tokio::test]
async fn a_connection_with_unsolicited_bytes_carries_no_further_call() {
    let test = async {
        for noise in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b"noise"] {
            let (outbound, listener, mut inputs) = set_up().await;
            let stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
            // No await here: the runtime must not poll its sockets before the call is sent.
            assert_eq!(stream.try_write(noise).expect("writable"), noise.len());
            outbound.start_call(call());
            let again = timeout(Duration::from_secs(20), listener.accept()).await;
            let (mut stream, _) = again.expect("a new connection").expect("a connection");
            respond(&mut stream, "500 No").await;
            let call_outcome = next_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::Error.into());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_to_an_address_that_the_route_has_left_is_not_pooled() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start_call(call());
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        outbound.update_route(ROUTE, route(other.local_addr().expect("an address"), Listing::Ready));
        respond(&mut stream, "200 OK").await;
        next(&mut inputs).await;
        let end = timeout(Duration::from_secs(20), stream.read(&mut [0; 8])).await.expect("in time");
        assert_eq!(end.expect("an end"), 0);
        assert!(outbound.idle.len() == 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Small writes are not delayed, and are not lost by a close.
#[tokio::test]
async fn an_opened_connection_sends_small_writes_at_once() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let _stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let connection = outbound.idle.take(ROUTE).expect("it is pooled");
        assert!(connection.socket.upgrade().expect("open").borrow().nodelay().expect("it can be read"));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
