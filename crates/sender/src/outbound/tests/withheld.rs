//! Tests calls that must no longer be sent when a connection becomes available.

use std::time::Duration;

use rudderspindle_policy::interface::{DestinationId, Listing, Outcome};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

use super::{ROUTE, call, complete_call, next_call_outcome, read_to_end, respond, route, set_up};
use crate::event::Call;

/// The backoff or the drain is reported after the engine has started the call and before the first byte of the call is
/// written.
#[tokio::test]
async fn a_call_is_withheld_by_a_later_backoff_or_drain() {
    let test = async {
        for drain in [false, true] {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start_call(call());
            if drain {
                let addr = listener.local_addr().expect("listener address");
                outbound.update_route(ROUTE, route(addr, Listing::Draining));
            } else {
                outbound.apply_backoff(DestinationId(7), None, 10_000.0);
            }
            let call_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::NotSent.into());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a call that goes to another receiver: the address changed after the engine had started the call and before
/// a connection was available, and another receiver may have the former address.
#[tokio::test]
async fn a_call_is_not_sent_to_the_former_address_of_its_receiver() {
    let test = async {
        let (outbound, former, mut inputs) = set_up().await;
        let stream = complete_call(&outbound, &former, &mut inputs, call()).await;
        // The call waits until the idle connection may be used.
        outbound.start_call(call());
        tokio::task::yield_now().await;
        let current = TcpListener::bind("127.0.0.1:0").await.expect("bind to a loopback port");
        outbound.update_route(ROUTE, route(current.local_addr().expect("listener address"), Listing::Ready));
        let sent_to_former = async {
            loop {
                let (mut stream, _) = former.accept().await.expect("accept a connection");
                assert_eq!(read_to_end(&mut stream).await, 0, "bytes at the former address");
            }
        };
        let sent_to_current = async {
            let (mut stream, _) = current.accept().await.expect("accept a connection");
            respond(&mut stream, "200 OK").await;
            next_call_outcome(&mut inputs).await
        };
        let outcome = tokio::select! {
            outcome = sent_to_current => outcome,
            () = sent_to_former => unreachable!("connections are accepted without end"),
            () = tokio::time::sleep(Duration::from_secs(20)) => panic!("no call at the current address"),
        };
        assert_eq!(outcome, Outcome::Ok.into());
        drop(stream);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The window of the idempotency key ends while the connection is opened. The receiver discards the key at that time,
/// so that the message could be executed twice.
#[tokio::test]
async fn a_call_whose_connection_opens_too_late_is_withheld() {
    let test = async {
        let (outbound, _, mut inputs) = set_up().await;
        // One connection that is not accepted fills the queue of the listener, and the SYN of the next one is dropped.
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("bind to a loopback port");
        let full_listener = socket.listen(0).expect("listen on the socket");
        let addr = full_listener.local_addr().expect("listener address");
        let _queued = TcpStream::connect(addr).await.expect("connect to the listener");
        outbound.update_route(ROUTE, route(addr, Listing::Ready));
        let started = Instant::now();
        let write_deadline = started + Duration::from_millis(300);
        outbound.start_call(Call { write_deadline, ..call() });
        let call_outcome = next_call_outcome(&mut inputs).await;
        // The outcome does not count as a failure of the receiver.
        assert_eq!(call_outcome, Outcome::NotSent.into());
        assert!(Instant::now() >= write_deadline);
        // A call whose deadline passed before its task started is not sent over an idle connection either.
        let (outbound, listener, mut inputs) = set_up().await;
        let stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        outbound.start_call(Call { write_deadline: Instant::now(), ..call() });
        let call_outcome = next_call_outcome(&mut inputs).await;
        assert_eq!(call_outcome, Outcome::NotSent.into());
        assert!(stream.try_read(&mut [0; 1]).is_err(), "bytes of the call were sent");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
