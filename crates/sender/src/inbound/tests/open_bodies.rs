//! Memory for the bodies of requests without a response.

use rudderspindle_journal::MAX_BODY;
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

use super::{InboundTest, read_status, wait_until};
use crate::event::{Input, SubmissionResponse};

/// A submission with a body of this length.
fn submission(body_len: usize) -> Vec<u8> {
    let head = format!(
        "POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: m1\r\nX-Remaining: 5\r\nX-Route-To: dest=7\r\n\
         Content-Length: {body_len}\r\n\r\n"
    );
    [head.as_bytes(), &vec![b'x'; body_len]].concat()
}

/// Guards against a process that is killed for its memory: bodies that waited for the engine were not counted.
#[tokio::test]
async fn a_body_that_waits_for_the_engine_takes_memory_from_other_clients() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut first = setup.connect().await;
        first.write_all(&submission(MAX_BODY)).await.expect("write to the connection");
        let Input::Submitted(waiting) = setup.next_input().await else { panic!("expected a submission") };
        let mut second = setup.connect().await;
        second.write_all(&submission(MAX_BODY)).await.expect("write to the connection");
        assert_eq!(read_status(&mut second).await, 503);
        waiting.response_sender.send(SubmissionResponse::Accepted).expect("a request that waits");
        assert_eq!(read_status(&mut first).await, 202);
        wait_until(|| setup.inbound.free_body_bytes.available_permits() == MAX_BODY).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against clients that are refused for as long as other clients leave large bodies unfinished.
#[tokio::test]
async fn a_small_body_is_accepted_while_large_ones_take_all_the_memory() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut slow = setup.connect().await;
        let unfinished = submission(MAX_BODY);
        slow.write_all(&unfinished[..unfinished.len() / 2]).await.expect("write to the connection");
        wait_until(|| setup.inbound.free_body_bytes.available_permits() == 0).await;
        for (body_len, expected) in [(1_025, 503), (1_024, 202)] {
            let mut client = setup.connect().await;
            client.write_all(&submission(body_len)).await.expect("write to the connection");
            if expected == 202 {
                setup.expect_accepted(&mut client).await;
            } else {
                assert_eq!(read_status(&mut client).await, expected);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}
