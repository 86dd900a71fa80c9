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
use crate::event::{ClaimAnswer, ClaimNumber, ContentHash, Endpoint, Input};

const WRITTEN: &str = include_str!("../../tests/golden/handover.written.txt");
const ACCEPTED: &str = include_str!("../../tests/golden/handover.accepted.json");
const REFUSED: &str = include_str!("../../tests/golden/handover.refused.txt");

/// A line in another encoding that is accepted, and the line that this program writes for the same message.
#[derive(Deserialize)]
struct Accepted {
    #[serde(rename = "given")]
    received: String,
    #[serde(rename = "means")]
    written: String,
}

/// Messages of each variant, with and without each optional field, in the order of the recorded lines.
fn messages() -> Vec<HandoverMessage> {
    let outage = |receiver: &str, outage| HandoverMessage::OutageState {
        destination: 3,
        receiver: receiver.to_owned(),
        outage,
    };
    let retry_after = |receiver: Option<&str>, ms| HandoverMessage::RetryAfter {
        destination: 65_535,
        receiver: receiver.map(str::to_owned),
        ms,
    };
    let endpoint = Endpoint {
        id: "r1".to_owned(),
        host_port: "10.1.0.18:9000".to_owned(),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        destination: 3,
        phase: "DRAINING".to_owned(),
        rate: 1.5,
    };
    let claim = |message_id: &str, high| HandoverMessage::ClaimId {
        number: ClaimNumber(5),
        message_id: message_id.to_owned(),
        content: ContentHash { high, low: 7 },
    };
    let answer = |answer| HandoverMessage::AnswerClaim { number: ClaimNumber(5), answer };
    vec![
        HandoverMessage::Hello(1),
        HandoverMessage::Hello(u32::MAX),
        outage("r1", OutageState::Down { retry_after_remaining: 1_500 }),
        outage("", OutageState::Down { retry_after_remaining: 0 }),
        outage("r1", OutageState::WarmingUp { since_recovery: 250, ramp_share: 0.25 }),
        outage("", OutageState::WarmingUp { since_recovery: -250, ramp_share: 1.0 }),
        retry_after(None, 0.0),
        retry_after(Some("r1"), 1_500.5),
        retry_after(Some(""), 5.0),
        retry_after(Some("a \"b\"\n\u{e9}"), 1e300),
        HandoverMessage::CallsInFlight(0),
        HandoverMessage::CallsInFlight(4_096),
        HandoverMessage::DiskSpace(0),
        HandoverMessage::DiskSpace(1_500_000),
        HandoverMessage::FreeSpace,
        HandoverMessage::Endpoints { revision: 41, members: vec![endpoint] },
        HandoverMessage::AcceptsMessages,
        claim("m1", 0),
        claim("a \"b\"", u64::MAX),
        answer(ClaimAnswer::Granted),
        answer(ClaimAnswer::Refused),
        answer(ClaimAnswer::Delivered),
        answer(ClaimAnswer::PossiblyExecuted),
    ]
}

fn socket_pair() -> (UnixStream, UnixStream) {
    UnixStream::pair().expect("a connection")
}

/// The messages that a connection reads if it receives these bytes and is then closed.
async fn read_messages(bytes: &[u8]) -> Result<Vec<HandoverMessage>, HandoverError> {
    let (mut remote, local) = socket_pair();
    remote.write_all(bytes).await?;
    drop(remote);
    let mut connection = Connection::new(local);
    let mut messages = Vec::new();
    while let Some(message) = connection.reader.read().await? {
        messages.push(message);
    }
    Ok(messages)
}

#[tokio::test]
async fn each_message_is_written_as_the_recorded_line() {
    let (local, mut remote) = socket_pair();
    let mut connection = Connection::new(local);
    for message in messages() {
        connection.writer.write(&message).await.expect("writable");
    }
    drop(connection);
    let mut text = String::new();
    remote.read_to_string(&mut text).await.expect("text");
    assert_eq!(text, WRITTEN);
}

#[tokio::test]
async fn each_recorded_line_is_read_as_its_message() {
    assert_eq!(read_messages(WRITTEN.as_bytes()).await.expect("messages"), messages());
}

#[tokio::test]
async fn a_line_in_another_encoding_is_read_as_its_message() {
    let lines: Vec<Accepted> = serde_json::from_str(ACCEPTED).expect("a table");
    for Accepted { received, written } in lines {
        let messages = read_messages(format!("{received}\n").as_bytes()).await.expect(&received);
        let rewritten: Vec<String> =
            messages.iter().map(|message| serde_json::to_string(message).expect("a line")).collect();
        assert_eq!(rewritten, [written], "{received}");
    }
}

#[tokio::test]
async fn a_malformed_line_is_an_error_of_the_connection() {
    assert!(REFUSED.lines().count() > 20);
    for line in REFUSED.lines() {
        assert!(read_messages(format!("{line}\n").as_bytes()).await.is_err(), "{line:?}");
    }
    // The maximum length of a line is 2048 bytes with its line end.
    let line_of_length = |length: usize| format!("{{\"out\":{}7}}\n", " ".repeat(length - 10));
    assert_eq!(line_of_length(2_048).len(), 2_048);
    assert_eq!(
        read_messages(line_of_length(2_048).as_bytes()).await.expect("messages"),
        [HandoverMessage::CallsInFlight(7)]
    );
    assert!(read_messages(line_of_length(2_050).as_bytes()).await.is_err());
    // The connection is closed within a line, or before one.
    assert!(read_messages(b"{\"out\":").await.is_err());
    assert_eq!(read_messages(b"").await.expect("the end"), []);
}

/// Lines after the malformed one are ignored.
#[tokio::test]
async fn a_malformed_line_ends_an_established_connection() {
    let test = async {
        for line in REFUSED.lines() {
            let (mut remote, local) = socket_pair();
            let (engine, mut inputs) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            Connection::new(local).spawn_exchange(peer_process.clone(), engine.clone());
            assert!(peer_process.is_connected());
            let wait = "{\"wait\":{\"destination\":3,\"receiver\":\"r1\",\"ms\":5.0}}";
            let lines = format!("{{\"hello\":1}}\n\"room\"\n{wait}\n{{\"out\":7}}\n{line}\n{{\"out\":8}}\n");
            remote.write_all(lines.as_bytes()).await.expect("writable");
            let first = inputs.recv().await;
            assert!(
                matches!(&first, Some(Input::PeerProcessBackoff { destination: 3, receiver: Some(receiver), wait })
                    if receiver == "r1" && *wait == 5.0),
                "{line:?}: {first:?}"
            );
            assert!(matches!(inputs.recv().await, Some(Input::PeerProcessCallsInFlight(7))), "{line:?}");
            assert!(matches!(inputs.recv().await, Some(Input::PeerProcessDisconnected)), "{line:?}");
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
        let other_messages = ["{\"hello\":0}", "{\"hello\":3}", "\"room\"", "{\"out\":7}"];
        for line in REFUSED.lines().chain(other_messages) {
            let (mut remote, local) = socket_pair();
            let (engine, mut inputs) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            remote.write_all(format!("{line}\n").as_bytes()).await.expect("writable");
            accept_successor(local, peer_process.clone(), engine).await;
            assert!(!peer_process.is_connected(), "{line:?}");
            assert!(inputs.recv().await.is_none(), "{line:?}");
            let mut response = Vec::new();
            remote.read_to_end(&mut response).await.expect("the end of the connection");
            assert!(response.is_empty(), "{line:?}: {response:?}");
        }
        for handshake in [b"{\"hello\":1}\n", b"{\"hello\":2}\n"] {
            let (mut remote, local) = socket_pair();
            let (engine, mut inputs) = mpsc::channel(8);
            remote.write_all(handshake).await.expect("writable");
            accept_successor(local, Rc::default(), engine).await;
            assert!(matches!(inputs.recv().await, Some(Input::SuccessorConnected)));
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_successor_keeps_the_messages_before_a_malformed_line() {
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
                assert_eq!(&handshake, b"{\"hello\":2}\n");
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
