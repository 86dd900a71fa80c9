//! Tests the outcomes of complete responses.

use rudderspindle_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::super::outcome::MAX_BACKOFF_MS;
use super::{ROUTE, call, next_call_outcome, next_input, respond, set_up};
use crate::event::{CallOutcome, Input};

#[tokio::test]
async fn each_response_has_the_outcome_that_the_protocol_defines() {
    let call_outcome =
        |outcome, backoff_ms, completed| CallOutcome { outcome, retry_after: backoff_ms, completed };
    let cases = [
        ("200 OK", call_outcome(Outcome::Ok, 0.0, true)),
        ("500 No", call_outcome(Outcome::Error, 0.0, false)),
        ("404 No", call_outcome(Outcome::Error, 0.0, false)),
        ("429 No\r\nX-Backoff-Ms: 250", call_outcome(Outcome::Rejected, 250.0, false)),
        ("429 No\r\nX-Backoff-Ms: soon", call_outcome(Outcome::Rejected, 0.0, false)),
        ("503 No", call_outcome(Outcome::Rejected, 0.0, false)),
        ("503 No\r\nX-Egress-Full: 1", call_outcome(Outcome::NotSent, 0.0, false)),
        ("504 No", call_outcome(Outcome::AttemptsExhausted, 0.0, false)),
        ("410 No", call_outcome(Outcome::NotSent, 0.0, true)),
    ];
    let test = async {
        for (text, expected) in cases {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start_call(call());
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            respond(&mut stream, text).await;
            let received_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(received_outcome, expected, "{text}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_health_check_reports_its_outcome() {
    let test = async {
        for (status, outcome) in [("200 OK", Outcome::Ok), ("503 No", Outcome::Rejected)] {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start_health_check(ROUTE);
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let mut head = [0; 18];
            stream.read_exact(&mut head).await.expect("read the request");
            assert_eq!(&head, b"GET /-/healthy HTT");
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).await.expect("write to the connection");
            let Input::HealthChecked { outcome: received_outcome, .. } = next_input(&mut inputs).await else {
                panic!("expected the outcome of a health check")
            };
            assert_eq!(received_outcome, outcome);
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn an_excessive_retry_after_is_limited() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        outbound.start_call(call());
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        respond(&mut stream, "429 No\r\nX-Backoff-Ms: 1e300").await;
        let received_outcome = next_call_outcome(&mut inputs).await;
        assert_eq!(
            (received_outcome.outcome, received_outcome.retry_after),
            (Outcome::Rejected, MAX_BACKOFF_MS)
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
