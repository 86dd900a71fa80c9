//! The owner's side of the handover: the process that owns the state folder accepts one successor at a time.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::connection::Connection;
use super::message::HandoverMessage;
use super::peer_process::PeerProcess;
use super::version::ProtocolVersion;
use super::{HANDOVER_TIMEOUT, SOCKET_NAME};
use crate::event::Input;

/// Maximum number of connections whose handshake is not complete; further ones wait until a handshake ends.
const MAX_HANDSHAKES: usize = 8;
/// Delay before the next attempt to accept a connection after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts successors, one at a time, until the engine ends. The engine is notified of each successor and receives its
/// messages.
pub async fn accept_successors(folder: PathBuf, peer_process: Rc<PeerProcess>, engine: mpsc::Sender<Input>) {
    let listener = match bind(&folder) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(%error, "handover socket cannot be bound; successors start without this process's state");
            return;
        }
    };
    // Handshakes run concurrently, so that a slow one does not delay the others. They are cancelled when this task
    // ends.
    let mut handshakes = JoinSet::new();
    while !engine.is_closed() {
        while handshakes.try_join_next().is_some() {}
        if handshakes.len() >= MAX_HANDSHAKES {
            handshakes.join_next().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                handshakes.spawn_local(accept_successor(stream, peer_process.clone(), engine.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Binds the socket. Removes the socket of an earlier process first, because this process owns the folder now.
fn bind(folder: &Path) -> io::Result<UnixListener> {
    let path = folder.join(SOCKET_NAME);
    let _ = std::fs::remove_file(&path);
    UnixListener::bind(&path)
}

/// Performs the handshake with a connection, and accepts it as the successor once an earlier successor has
/// disconnected: the lock of an earlier successor may be free before its connection is closed at this end.
pub(super) async fn accept_successor(
    stream: UnixStream,
    peer_process: Rc<PeerProcess>,
    engine: mpsc::Sender<Input>,
) {
    let mut connection = Connection::new(stream);
    let Some(version) = read_handshake(&mut connection).await else { return };
    if timeout(HANDOVER_TIMEOUT, peer_process.disconnected()).await.is_err() {
        tracing::warn!("handover rejected: another successor is connected");
        return;
    }
    peer_process.set_version(version);
    connection.spawn_exchange(peer_process, engine.clone());
    let _ = engine.send(Input::SuccessorConnected).await;
}

/// Reads the handshake of a successor, and returns its version; `None` if the connection is rejected.
async fn read_handshake(connection: &mut Connection) -> Option<ProtocolVersion> {
    let Ok(Ok(Some(message))) = timeout(HANDOVER_TIMEOUT, connection.reader.read()).await else {
        tracing::warn!("handover rejected: no valid handshake");
        return None;
    };
    let version = match message {
        HandoverMessage::Hello(number) => ProtocolVersion::from_number(number),
        _ => None,
    };
    if version.is_none() {
        tracing::warn!(?message, "handover rejected: unexpected first message");
    }
    version
}
