//! Tests idle connections and their reuse for further calls.

use std::time::Duration;

use rudderspindle_policy::interface::{Listing, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::{
    ROUTE, call, complete_call, next_call_outcome, next_input, read_request, respond, route, set_up,
    take_idle_connection,
};

/// The receiver may be about to close a connection that has been idle for nearly its idle timeout.
#[tokio::test]
async fn a_connection_is_not_reused_close_to_the_idle_timeout() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let _stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let connection = take_idle_connection(&outbound).await;
        let max_idle_time = outbound.idle.max_idle_time();
        let close_to_timeout = Instant::now() + Duration::from_secs(13);
        assert!(
            connection.is_reusable(Instant::now(), max_idle_time)
                && !connection.is_reusable(close_to_timeout, max_idle_time)
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Bytes that are received after a response may be unread when the next call is sent, and would be interpreted as the
/// response to that call.
#[tokio::test]
async fn a_connection_with_unsolicited_bytes_is_not_reused() {
    let test = async {
        for unsolicited in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b"noise"] {
            let (outbound, listener, mut inputs) = set_up().await;
            let stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
            // Written without an await, because the runtime must not poll its sockets before the call is sent.
            assert_eq!(stream.try_write(unsolicited).expect("write to the connection"), unsolicited.len());
            outbound.start_call(call());
            let accepted = timeout(Duration::from_secs(20), listener.accept()).await;
            let (mut stream, _) =
                accepted.expect("a new connection within the timeout").expect("accept a connection");
            respond(&mut stream, "500 No").await;
            let call_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::Error.into());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_to_a_former_address_of_its_route_is_not_pooled() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start_call(call());
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        read_request(&mut stream).await;
        let new_listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a loopback port");
        outbound
            .update_route(ROUTE, route(new_listener.local_addr().expect("listener address"), Listing::Ready));
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response).await.expect("write to the connection");
        next_input(&mut inputs).await;
        let read = timeout(Duration::from_secs(20), stream.read(&mut [0; 8]))
            .await
            .expect("completion within the timeout");
        assert_eq!(read.expect("end of the connection"), 0);
        assert!(outbound.idle.len() == 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// `TCP_NODELAY` is set so that the system does not delay small writes, which a close would then discard.
#[tokio::test]
async fn an_opened_connection_sends_small_writes_at_once() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let _stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        let connection = take_idle_connection(&outbound).await;
        assert!(
            connection
                .socket
                .upgrade()
                .expect("an open socket")
                .borrow()
                .nodelay()
                .expect("read the socket option")
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
