//! The handshake with a process of another version, and the transfer of the endpoint list.

use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::message::HandoverMessage;
use super::peer_process::PeerProcess;
use super::successor::{HandoverState, connect_to_owner};
use crate::event::{Endpoint, EndpointList};

/// An owner of the version before closes a connection whose handshake has the current version.
#[tokio::test]
async fn a_successor_connects_to_an_owner_of_the_version_before() {
    let test = async {
        for rejected in [false, true] {
            let folder = tempfile::tempdir().expect("a folder");
            let listener = UnixListener::bind(folder.path().join("handover")).expect("a socket");
            let peer_process = Rc::new(PeerProcess::default());
            let (engine, _inputs) = mpsc::channel(8);
            let owner = async {
                let mut handshake = [0; 12];
                let (mut stream, _) = listener.accept().await.expect("a successor");
                stream.read_exact(&mut handshake).await.expect("a handshake");
                if rejected {
                    drop(stream);
                    stream = listener.accept().await.expect("a successor").0;
                    stream.read_exact(&mut handshake).await.expect("a handshake");
                    assert_eq!(&handshake, b"{\"hello\":1}\n");
                }
                stream.write_all(b"\"room\"\n").await.expect("writable");
                stream
            };
            let successor = connect_to_owner(folder.path(), &peer_process, &engine);
            let (state, _stream) = tokio::join!(successor, owner);
            assert!(state.is_complete && peer_process.is_connected());
            assert_eq!(peer_process.answers_claims(), !rejected);
        }
    };
    LocalSet::new().run_until(test).await;
}

fn endpoint(id: String) -> Endpoint {
    let (host_port, zone, kind) = ("127.0.0.1:9000".to_owned(), "zone".to_owned(), "kind".to_owned());
    Endpoint { id, host_port, zone, kind, destination: 7, phase: "SERVING".to_owned(), rate: 0.0 }
}

/// Maximum length of a line of the protocol.
const MAX_LINE: usize = 2_048;

#[test]
fn an_endpoint_list_is_transferred_in_messages_of_the_maximum_length() {
    let members: Vec<Endpoint> = (0..3_200).map(|n| endpoint(format!("receiver-{n}"))).collect();
    let list = EndpointList { revision: 5, complete: true, members };
    let messages = HandoverMessage::endpoint_list(&list);
    let longest = messages.iter().map(|message| serde_json::to_vec(message).expect("a line").len()).max();
    assert!(
        messages.len() < 500 && longest < Some(MAX_LINE),
        "{} messages, {longest:?} bytes",
        messages.len()
    );
    let received =
        HandoverState { messages: messages.clone(), is_complete: true }.endpoint_list().expect("a list");
    assert!(received.complete && received.revision == 5 && received.members == list.members);
    assert!(HandoverState { messages, is_complete: false }.endpoint_list().is_none());
    assert!(HandoverState { messages: Vec::new(), is_complete: true }.endpoint_list().is_none());
    let too_long = vec![endpoint("x".repeat(MAX_LINE))];
    assert_eq!(HandoverMessage::endpoint_list(&EndpointList { members: too_long, ..list }), []);
}
