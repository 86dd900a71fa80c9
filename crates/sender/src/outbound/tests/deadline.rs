//! A call's time-out against its answer.

use super::*;

/// A call whose request has come whole, and when its time is up as announced to the receiver.
async fn announced(outbound: &Rc<Outbound>, listener: &TcpListener) -> (TcpStream, Instant) {
    let until = Instant::now() + Duration::from_millis(400);
    outbound.start(Call { until, latest: until, ..call() });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(stream.read_buf(&mut request).await.expect("a request") > 0, "it ends too early");
    }
    (stream, until)
}

/// Nothing here is polled until then, so that the answer and the time-out are found in one tick.
fn hold_up(until: Instant) {
    std::thread::sleep(until.saturating_duration_since(Instant::now()) + Duration::from_millis(2));
}

/// The receiver has been told how long the sender waits. What it writes after that it writes to one that has given
/// the call up, though the sender's own timer has not rung yet: taken for a delivery, the message would have no end.
#[tokio::test]
async fn an_answer_after_the_announced_time_is_none_also_in_the_tick_of_the_time_out() {
    let test = async {
        for status in ["200 OK", "500 No", "429 No\r\nX-Backoff-Ms: 250"] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (stream, until) = announced(&outbound, &listener).await;
            hold_up(until);
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            assert_eq!(stream.try_write(answer.as_bytes()).expect("writable"), answer.len());
            let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!(report, Outcome::Timeout.into(), "{status}");
            assert_eq!(outbound.waits().is_empty(), !status.contains("Backoff"), "{status}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A refusal counts only when it is whole, and its rest is not waited for beyond the call's time: the message's end
/// may be due just then.
#[tokio::test]
async fn a_refusal_that_never_ends_holds_its_call_no_longer_than_its_time() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let (mut stream, until) = announced(&outbound, &listener).await;
        // So late that half a second more would be far beyond.
        tokio::time::sleep_until(until - Duration::from_millis(50)).await;
        let half = b"HTTP/1.1 503 No\r\nContent-Length: 8\r\n\r\nhalf";
        stream.write_all(half).await.expect("writable");
        let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
        assert_eq!(report, Outcome::Error.into());
        assert!(until.elapsed() < Duration::from_millis(300), "{:?} late", until.elapsed());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A message is delivered by a first line with 200. Half of one says nothing yet.
#[tokio::test]
async fn half_a_first_line_delivers_nothing() {
    let test = async {
        for (said, outcome) in [
            ("HTTP/1.1 200", Outcome::Error),
            ("HTTP/1.1 200 OK", Outcome::Error),
            ("HTTP/1.1 200 OK\r\n", Outcome::Ok),
            ("HTTP/1.1 200\r\nContent-Le", Outcome::Ok),
            ("HTTP/1.1 2000 OK\r\n", Outcome::Error),
        ] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (mut stream, _) = announced(&outbound, &listener).await;
            stream.write_all(said.as_bytes()).await.expect("writable");
            drop(stream);
            let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!(report, outcome.into(), "{said:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
