//! A message's end against the answer to its call.

use tokio::io::AsyncWriteExt;

use super::cancels::{batch, receiver, request, soon, until};
use super::*;

/// Its client counts its time from when it sent it, a little earlier than we do. An answer in between is late to all
/// but us: taken for a delivery, the message would have no end.
#[tokio::test]
async fn an_answer_in_the_last_moment_of_a_message_delivers_nothing_and_it_gets_its_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let (input, answered) = submission(1, "m1");
        let Input::Submitted(mut message) = input else { panic!("no message") };
        let ends_at = Instant::now() + Duration::from_millis(500);
        message.ends_at = ends_at;
        engine.batch(vec![Input::Submitted(message)]);
        assert_eq!(answered.await, Ok(Answer::Accepted));
        let (mut stream, _) = soon(listener.accept()).await.expect("a connection");
        let text = String::from_utf8(request(&mut stream).await).expect("text");
        let told = text.lines().find_map(|line| line.strip_prefix("x-remaining: ")).expect("a time");
        assert!(told.parse::<f64>().is_ok_and(|s| s <= 0.495), "it waits for {told} s of its half second");
        // Within what lies between its client's clock and ours.
        tokio::time::sleep_until(ends_at - Duration::from_millis(2)).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        until(|| {
            batch(&mut engine);
            engine.held.is_empty()
        })
        .await;
        let owed: Vec<_> = engine.store.pending_notifications().map(|notice| notice.message_id).collect();
        assert_eq!(owed, ["m1".into()]);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
