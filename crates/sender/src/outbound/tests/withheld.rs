//! Calls that must no longer be sent once a connection is available.

use std::time::Duration;

use rudderspindle_policy::interface::{DestinationId, Listing, Outcome};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use super::{ROUTE, call, complete_call, next_outcome, route, set_up};
use crate::event::Call;

/// A backoff or a drain that is reported after the decision and before the call's first byte counts.
#[tokio::test]
async fn a_backoff_or_a_drain_reported_after_the_decision_withholds_the_call() {
    let test = async {
        for drain in [false, true] {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start_call(call());
            if drain {
                let addr = listener.local_addr().expect("an address");
                outbound.update_route(ROUTE, route(addr, Listing::Draining));
            } else {
                outbound.apply_backoff(DestinationId(7), None, 10_000.0);
            }
            let call_outcome = next_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::NotSent.into());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The key's window ends while the connection is opened: the receiver has discarded the key, and the message could be
/// executed twice.
#[tokio::test]
async fn a_call_whose_connection_opens_too_late_is_withheld() {
    let test = async {
        let (outbound, _, mut inputs) = set_up().await;
        // One connection that is not accepted fills the queue, and the SYN of the next one is dropped.
        let slow = TcpSocket::new_v4().expect("a socket");
        slow.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let slow = slow.listen(0).expect("a listener");
        let addr = slow.local_addr().expect("an address");
        let _first = TcpStream::connect(addr).await.expect("a connection");
        outbound.update_route(ROUTE, route(addr, Listing::Ready));
        let started = Instant::now();
        let write_deadline = started + Duration::from_millis(300);
        outbound.start_call(Call { write_deadline, ..call() });
        let call_outcome = next_outcome(&mut inputs).await;
        // It does not count as a failure of the receiver.
        assert_eq!(call_outcome, Outcome::NotSent.into());
        assert!(Instant::now() >= write_deadline);
        // A call whose deadline passed before its task began is not sent over an idle connection either.
        let (outbound, listener, mut inputs) = set_up().await;
        let stream = complete_call(&outbound, &listener, &mut inputs, call()).await;
        outbound.start_call(Call { write_deadline: Instant::now(), ..call() });
        let call_outcome = next_outcome(&mut inputs).await;
        assert_eq!(call_outcome, Outcome::NotSent.into());
        assert!(stream.try_read(&mut [0; 1]).is_err(), "something of it was sent");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
