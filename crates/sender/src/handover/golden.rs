//! The encoding of messages and the handshake, compared with recorded lines.

use std::rc::Rc;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::codec::HandoverError;
use super::connection::Connection;
use super::message::{HandoverMessage, OutageState};
use super::owner::accept_successor;
use super::peer_process::PeerProcess;
use super::successor::connect_to_owner;
use crate::event::Input;

const WRITTEN: &str = include_str!("../../tests/golden/handover.written.txt");
const ACCEPTED: &str = include_str!("../../tests/golden/handover.accepted.json");
const REFUSED: &str = include_str!("../../tests/golden/handover.refused.txt");

/// A line in an accepted encoding, and the line that this program writes for it.
#[derive(Deserialize)]
struct Accepted {
    given: String,
    means: String,
}

/// Messages of each variant, with and without each optional field, in the order of the file.
fn messages() -> Vec<HandoverMessage> {
    let outage = |receiver: &str, outage| HandoverMessage::OutageState {
        destination: 3,
        receiver: receiver.to_owned(),
        outage,
    };
    let wait = |receiver: Option<&str>, ms| HandoverMessage::RetryAfter {
        destination: 65_535,
        receiver: receiver.map(str::to_owned),
        ms,
    };
    vec![
        HandoverMessage::Hello(1),
        HandoverMessage::Hello(u32::MAX),
        outage("r1", OutageState::Down { retry_after_remaining: 1_500 }),
        outage("", OutageState::Down { retry_after_remaining: 0 }),
        outage("r1", OutageState::WarmingUp { since_recovery: 250, ramp_share: 0.25 }),
        outage("", OutageState::WarmingUp { since_recovery: -250, ramp_share: 1.0 }),
        wait(None, 0.0),
        wait(Some("r1"), 1_500.5),
        wait(Some(""), 5.0),
        wait(Some("a \"b\"\n\u{e9}"), 1e300),
        HandoverMessage::CallsInFlight(0),
        HandoverMessage::CallsInFlight(4_096),
        HandoverMessage::FreeSpace,
    ]
}

fn socket_pair() -> (UnixStream, UnixStream) {
    UnixStream::pair().expect("a connection")
}

/// Reads the messages in these bytes, after which the connection is closed.
async fn read_of(bytes: &[u8]) -> Result<Vec<HandoverMessage>, HandoverError> {
    let (mut theirs, ours) = socket_pair();
    theirs.write_all(bytes).await?;
    drop(theirs);
    let mut connection = Connection::new(ours);
    let mut messages = Vec::new();
    while let Some(message) = connection.reader.read().await? {
        messages.push(message);
    }
    Ok(messages)
}

#[tokio::test]
async fn each_message_is_written_as_the_recorded_line() {
    let (ours, mut theirs) = socket_pair();
    let mut connection = Connection::new(ours);
    for message in messages() {
        connection.writer.write(&message).await.expect("writable");
    }
    drop(connection);
    let mut text = String::new();
    theirs.read_to_string(&mut text).await.expect("text");
    assert_eq!(text, WRITTEN);
}

#[tokio::test]
async fn each_recorded_line_is_read_as_its_message() {
    assert_eq!(read_of(WRITTEN.as_bytes()).await.expect("messages"), messages());
}

#[tokio::test]
async fn a_line_in_another_encoding_is_read_as_recorded() {
    let lines: Vec<Accepted> = serde_json::from_str(ACCEPTED).expect("a table");
    for Accepted { given, means } in lines {
        let read = read_of(format!("{given}\n").as_bytes()).await.expect(&given);
        let again: Vec<String> =
            read.iter().map(|message| serde_json::to_string(message).expect("a line")).collect();
        assert_eq!(again, [means], "{given}");
    }
}

#[tokio::test]
async fn a_malformed_line_is_an_error_of_the_connection() {
    assert!(REFUSED.lines().count() > 20);
    for line in REFUSED.lines() {
        assert!(read_of(format!("{line}\n").as_bytes()).await.is_err(), "{line:?}");
    }
    // The longest line has 2048 bytes with its end.
    let of_length = |length: usize| format!("{{\"out\":{}7}}\n", " ".repeat(length - 10));
    assert_eq!(of_length(2_048).len(), 2_048);
    assert_eq!(
        read_of(of_length(2_048).as_bytes()).await.expect("messages"),
        [HandoverMessage::CallsInFlight(7)]
    );
    assert!(read_of(of_length(2_050).as_bytes()).await.is_err());
    // An incomplete line, and the end of the connection.
    assert!(read_of(b"{\"out\":").await.is_err());
    assert_eq!(read_of(b"").await.expect("the end"), []);
}

#[tokio::test]
async fn a_malformed_line_ends_an_established_connection_and_later_lines_are_ignored() {
    let test = async {
        for line in REFUSED.lines() {
            let (mut theirs, ours) = socket_pair();
            let (engine, mut inputs) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            Connection::new(ours).spawn_exchange(peer_process.clone(), engine.clone());
            assert!(peer_process.is_connected());
            let wait = "{\"wait\":{\"destination\":3,\"receiver\":\"r1\",\"ms\":5.0}}";
            let lines = format!("{{\"hello\":1}}\n\"room\"\n{wait}\n{{\"out\":7}}\n{line}\n{{\"out\":8}}\n");
            theirs.write_all(lines.as_bytes()).await.expect("writable");
            let first = inputs.recv().await;
            assert!(
                matches!(&first, Some(Input::RetryAfter { destination: 3, receiver: Some(receiver), wait })
                    if receiver == "r1" && *wait == 5.0),
                "{line:?}: {first:?}"
            );
            assert!(matches!(inputs.recv().await, Some(Input::PeerCallsInFlight(7))), "{line:?}");
            assert!(matches!(inputs.recv().await, Some(Input::PeerDisconnected)), "{line:?}");
            assert!(!peer_process.is_connected(), "{line:?}");
            drop(engine);
            assert!(inputs.recv().await.is_none(), "{line:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_without_a_handshake_of_this_version_is_rejected() {
    let test = async {
        let others = ["{\"hello\":0}", "{\"hello\":2}", "\"room\"", "{\"out\":7}"];
        for line in REFUSED.lines().chain(others) {
            let (mut theirs, ours) = socket_pair();
            let (engine, mut inputs) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            theirs.write_all(format!("{line}\n").as_bytes()).await.expect("writable");
            accept_successor(ours, peer_process.clone(), engine).await;
            assert!(!peer_process.is_connected(), "{line:?}");
            assert!(inputs.recv().await.is_none(), "{line:?}");
            let mut answer = Vec::new();
            theirs.read_to_end(&mut answer).await.expect("an end");
            assert!(answer.is_empty(), "{line:?}: {answer:?}");
        }
        let (mut theirs, ours) = socket_pair();
        let (engine, mut inputs) = mpsc::channel(8);
        theirs.write_all(b"{\"hello\":1}\n").await.expect("writable");
        accept_successor(ours, Rc::default(), engine).await;
        assert!(matches!(inputs.recv().await, Some(Input::SuccessorConnected)));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_successor_that_reads_a_malformed_line_continues_with_the_messages_before_it() {
    let test = async {
        let calls = HandoverMessage::CallsInFlight(7);
        for (line, is_complete) in REFUSED.lines().map(|line| (line, false)).chain([("\"room\"", true)]) {
            let folder = tempfile::tempdir().expect("a folder");
            let listener = UnixListener::bind(folder.path().join("handover")).expect("a socket");
            let peer_process = Rc::new(PeerProcess::default());
            let (engine, _inputs) = mpsc::channel(8);
            let owner = async {
                let (mut stream, _) = listener.accept().await.expect("a successor");
                stream.write_all(format!("{{\"out\":7}}\n{line}\n").as_bytes()).await.expect("writable");
                let mut handshake = [0; 12];
                stream.read_exact(&mut handshake).await.expect("a handshake");
                assert_eq!(&handshake, b"{\"hello\":1}\n");
                stream
            };
            let successor = connect_to_owner(folder.path(), &peer_process, &engine);
            let (state, _stream) = tokio::join!(successor, owner);
            assert_eq!((state.messages, state.is_complete), (vec![calls.clone()], is_complete), "{line:?}");
            assert_eq!(peer_process.is_connected(), is_complete, "{line:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}
