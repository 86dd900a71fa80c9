//! A receiver whose system holds back the copy of a response, because the response is not acknowledged yet (Nagle's
//! algorithm).

use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::{call, next_call_outcome, read_request, set_up};

/// Number of calls after which the system delays the acknowledgements of a connection.
const CALLS_BEFORE_COPY: usize = 20;
/// Time after a response at which its copy is written.
const COPY_DELAY: Duration = Duration::from_millis(1);
/// Number of connections that are tried.
const CONNECTIONS: usize = 3;

const SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

/// Reads a request and writes the response. Returns `false` if the sender closes the connection instead.
async fn serve_request(stream: &mut TcpStream, response: &[u8]) -> bool {
    if !matches!(stream.peek(&mut [0; 1]).await, Ok(1)) {
        return false;
    }
    read_request(stream).await;
    stream.write_all(response).await.is_ok()
}

/// Responds with successes, writes the last one twice, and rejects all calls after that.
async fn serve(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    for _ in 0..CALLS_BEFORE_COPY {
        assert!(serve_request(&mut stream, SUCCESS).await, "an open connection");
    }
    sleep(COPY_DELAY).await;
    stream.write_all(SUCCESS).await.expect("write to the connection");
    while serve_request(&mut stream, REJECTION).await {}
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    while serve_request(&mut stream, REJECTION).await {}
}

/// Guards against a message that is taken for delivered although its call was rejected: the receiver wrote the copy of the
/// response before the next request, but it was sent only with the acknowledgement in that request.
#[tokio::test]
async fn a_copy_that_waits_for_an_acknowledgement_is_not_the_response_to_the_next_call() {
    let test = async {
        for _ in 0..CONNECTIONS {
            let (outbound, listener, mut inputs) = set_up().await;
            let receiver = tokio::task::spawn_local(serve(listener));
            for _ in 0..CALLS_BEFORE_COPY {
                outbound.start_call(call());
                assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Ok);
            }
            outbound.start_call(call());
            let outcome = timeout(Duration::from_secs(20), next_call_outcome(&mut inputs)).await;
            assert_eq!(outcome.expect("an outcome").outcome, Outcome::Rejected);
            receiver.abort();
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
