//! Connections that are kept.

use super::*;

#[tokio::test]
async fn a_connection_is_not_used_when_the_receiver_may_be_about_to_close_it() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start(call());
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK").await;
        next(&mut inputs).await;
        while outbound.idle.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let kept = outbound.kept(ROUTE).expect("it is kept");
        let old = Instant::now() + Duration::from_secs(13);
        assert!(kept.config(Instant::now(), outbound.idle_time) && !kept.config(old, outbound.idle_time));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// What has come behind an answer may not have been read yet when the next call goes out: it would be
/// taken for that one's answer.
#[tokio::test]
async fn a_connection_that_is_not_quiet_carries_no_further_call() {
    let test = async {
        for noise in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b"noise"] {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start(call());
            let (mut stream, _) = listener.accept().await.expect("a connection");
            answer(&mut stream, "200 OK").await;
            next(&mut inputs).await;
            while outbound.idle.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            // Nothing here waits, so that the runtime does not look at its sockets before the call is out.
            assert_eq!(stream.try_write(noise).expect("writable"), noise.len());
            outbound.start(call());
            let again = timeout(Duration::from_secs(20), listener.accept()).await;
            let (mut stream, _) = again.expect("a new connection").expect("a connection");
            answer(&mut stream, "500 No").await;
            let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!(report, Outcome::Error.into());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_to_an_address_that_is_no_longer_the_routes_is_not_kept() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start(call());
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        outbound.list(ROUTE, route(other.local_addr().expect("an address"), Listing::Ready));
        answer(&mut stream, "200 OK").await;
        next(&mut inputs).await;
        let end = timeout(Duration::from_secs(20), stream.read(&mut [0; 8])).await.expect("in time");
        assert_eq!(end.expect("an end"), 0);
        assert!(outbound.idle.borrow().is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// What is written in small pieces is not held back, and does not go with a close.
#[tokio::test]
async fn a_dialled_connection_sends_small_writes_at_once() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start(call());
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK").await;
        next(&mut inputs).await;
        while outbound.idle.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let kept = outbound.kept(ROUTE).expect("it is kept");
        assert!(kept.socket.upgrade().expect("open").borrow().nodelay().expect("it is told"));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
