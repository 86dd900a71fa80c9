//! Calls that are given up: nothing of them arrives later. And repeats of a keyed message, which must not arrive
//! after the window.

use super::*;

/// A body that the system takes whole while nobody reads at a [`narrow`] listener.
const MIDDLING: usize = 8_000;

/// A call that a receiver does not read.
fn unread(size: usize) -> Call {
    Call { body: Bytes::from(vec![b'x'; size]), ..call() }
}

async fn set_up_narrow() -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
    let (outbound, _, inputs) = set_up().await;
    let listener = narrow();
    outbound.list(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
    (outbound, listener, inputs)
}

async fn outcome(inputs: &mut mpsc::Receiver<Input>) -> Outcome {
    let Input::Outcome { result: report, .. } = next(inputs).await else { panic!("no outcome") };
    report.outcome
}

/// What the system still holds of a call is not sent once the call is over: it would run after that.
#[tokio::test]
async fn nothing_of_a_call_arrives_after_it_was_given_up() {
    let test = async {
        let soon = || Instant::now() + Duration::from_secs(1);
        for (size, cancelled, expected) in [
            (MIDDLING, false, Outcome::Timeout),
            (LARGE, false, Outcome::ConnectFailed),
            (MIDDLING, true, Outcome::Cancelled),
            (LARGE, true, Outcome::NotSent),
        ] {
            let (outbound, listener, mut inputs) = set_up_narrow().await;
            let call = unread(size);
            let out = outbound.start(if cancelled { call } else { Call { until: soon(), ..call } });
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
            let got = read_to_end(&mut stream).await;
            assert!(got < size, "{expected:?}: {got} bytes came, all of it");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The last byte of a repeat is with the system in time, but the receiver does not take it before the window is
/// over: the system gives it up then, though its answer could be waited for longer.
#[tokio::test]
async fn a_repeat_that_rests_in_the_kernel_does_not_arrive_after_the_window() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_narrow().await;
        let latest = Instant::now() + Duration::from_secs(1);
        let (until, key) = (latest + Duration::from_secs(4), Some(Bytes::from_static(b"k")));
        outbound.start(Call { until, latest, key, attempt: 1, ..unread(MIDDLING) });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // It may have run: its last byte was written.
        assert_eq!(outcome(&mut inputs).await, Outcome::Reset);
        assert!(Instant::now() < until);
        assert!(read_to_end(&mut stream).await < MIDDLING, "all of it came");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The limit is the repeat's, not that of calls which come after it on the same connection.
#[tokio::test]
async fn a_connection_that_carried_a_repeat_is_kept_as_it_was() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start(Call { key: Some(Bytes::from_static(b"k")), attempt: 1, ..call() });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let limit = |connection: &Connection| {
            let socket = connection.socket.upgrade().expect("open");
            SockRef::from(&*socket.borrow()).tcp_user_timeout().expect("it is told")
        };
        answer(&mut stream, "200 OK").await;
        assert_eq!(outcome(&mut inputs).await, Outcome::Ok);
        while outbound.idle.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(limit(&outbound.idle.borrow()[&ROUTE][0]), None);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// All sockets are taken and one of them is at rest: a call gets its place, and does not lose an attempt.
#[tokio::test]
async fn a_call_for_which_a_connection_at_rest_is_closed_goes_at_once() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up_with(1).await;
        outbound.start(call());
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK").await;
        assert_eq!(outcome(&mut inputs).await, Outcome::Ok);
        while outbound.idle.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        outbound.list(RouteId(2), route(other.local_addr().expect("an address"), Listing::Ready));
        outbound.start(Call { route: RouteId(2), ..call() });
        let accepted = async {
            let (mut stream, _) = other.accept().await.expect("a connection");
            answer(&mut stream, "200 OK").await;
            std::future::pending::<()>().await;
        };
        let found = tokio::select! {
            found = outcome(&mut inputs) => found,
            () = accepted => unreachable!(),
        };
        assert_eq!(found, Outcome::Ok);
        // An ordinary end for the one at rest.
        assert_eq!(stream.read(&mut [0; 8]).await.expect("an end"), 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
