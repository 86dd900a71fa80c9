use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::event::Answer;

const REQUEST: &[u8] = b"POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: m1\r\nX-Remaining: 5\r\n\
    X-Route-To: dest=7\r\nContent-Length: 4\r\n\r\ntext";

/// A client, and the host's end of the queue.
async fn set_up() -> (TcpStream, mpsc::Receiver<Input>, watch::Sender<Door>) {
    let json = serde_json::json!({
        "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
    let settings = rudderspindle_decide::settings::read(&json).expect("settings");
    let names = rudderspindle_decide::settings::names(&json).expect("names");
    let (to_engine, inputs) = mpsc::channel(16);
    let (turn, door) = watch::channel(Door::Open);
    let figures = Rc::new(Figures::new(&names.classes));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a client");
    let limits = Limits { sockets: 8, body_bytes: MAX_BODY };
    spawn_local(Rc::new(Inbound::new(settings, names, limits, figures, to_engine, door)).run(listener));
    (client, inputs, turn)
}

async fn next(inputs: &mut mpsc::Receiver<Input>) -> Input {
    let input = timeout(Duration::from_secs(20), inputs.recv()).await;
    input.expect("in time").expect("an input")
}

#[tokio::test]
async fn a_client_gone_before_its_answer_was_written_withdraws_its_message() {
    let test = async {
        let (mut client, mut inputs, _stop) = set_up().await;
        client.write_all(REQUEST).await.expect("writable");
        let Input::HandedIn(submission) = next(&mut inputs).await else { panic!("not handed in") };
        drop(client);
        let Input::Withdrawn(number) = next(&mut inputs).await else { panic!("not withdrawn") };
        assert_eq!(number, submission.number);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_client_that_leaves_after_its_answer_withdraws_nothing() {
    let test = async {
        let (mut client, mut inputs, _stop) = set_up().await;
        client.write_all(REQUEST).await.expect("writable");
        let Input::HandedIn(submission) = next(&mut inputs).await else { panic!("not handed in") };
        submission.answer.send(Answer::Accepted).expect("it waits");
        let mut head = [0; 12];
        client.read_exact(&mut head).await.expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 202");
        drop(client);
        let next = timeout(Duration::from_millis(200), inputs.recv()).await;
        assert!(next.is_err(), "{next:?}");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
