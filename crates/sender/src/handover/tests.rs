//! The handshake with a process of another version.

use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::peer_process::PeerProcess;
use super::successor::connect_to_owner;

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
            assert_eq!(peer_process.owner_answers_claims(), !rejected);
        }
    };
    LocalSet::new().run_until(test).await;
}
