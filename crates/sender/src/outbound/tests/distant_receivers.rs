//! A receiver at a distance: responses take long, and the copy of a response may be held up on its way.

use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::{call, next_call_outcome, read_request, respond, set_up};

/// Time from the request to its response: the round-trip time of the path.
const ROUND_TRIP: Duration = Duration::from_millis(200);
/// Time from a response to its copy, which is held up on the path.
const COPY_DELAY: Duration = Duration::from_millis(60);

/// Responds to one request on a new connection after the round-trip time.
async fn first_call(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    read_request(&mut stream).await;
    sleep(ROUND_TRIP).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("write to the connection");
    stream
}

/// Writes the copy of the first response, and rejects the next request one round-trip time after it is received.
async fn second_call(listener: &TcpListener, mut first: TcpStream) {
    sleep(COPY_DELAY).await;
    let _ = first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    sleep(ROUND_TRIP).await;
    respond(&mut stream, "503 No").await;
}

/// Guards against a message that is taken for delivered although its call was rejected: the copy of the response before
/// took longer on its way than the response, and arrived after the next request was written.
#[tokio::test]
async fn a_copy_that_is_held_up_on_its_way_is_not_the_response_to_the_next_call() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start_call(call());
        let first = first_call(&listener).await;
        assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Ok);
        outbound.start_call(call());
        let receiver = tokio::task::spawn_local(async move { second_call(&listener, first).await });
        assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Rejected);
        receiver.abort();
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The connection of a distant receiver is used again once no copy can be on its way.
#[tokio::test]
async fn a_connection_to_a_distant_receiver_is_used_again_later() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start_call(call());
        let mut stream = first_call(&listener).await;
        assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Ok);
        sleep(ROUND_TRIP).await;
        outbound.start_call(call());
        timeout(Duration::from_secs(20), respond(&mut stream, "200 OK"))
            .await
            .expect("a request on the connection");
        assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Ok);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
