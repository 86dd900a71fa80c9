//! The successor's side of the handover: a starting process receives the state of the process that owns the state
//! folder.

use std::path::Path;
use std::rc::Rc;

use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::codec::HandoverError;
use super::connection::Connection;
use super::message::HandoverMessage;
use super::peer_process::PeerProcess;
use super::version::ProtocolVersion;
use super::{HANDOVER_TIMEOUT, SOCKET_NAME};
use crate::event::{EndpointList, Input};

/// The state that a starting process received from the owner.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// Outages, backoffs, calls in flight and the endpoint list, in the order in which the owner sent them.
    pub messages: Vec<HandoverMessage>,
    /// Whether the end of the transfer was received. If so, the owner leaves a part of the journal's disk budget to this
    /// process: half, or as much as the last [`HandoverMessage::DiskSpace`] says.
    pub is_complete: bool,
}

impl HandoverState {
    /// The owner's endpoint list; `None` if it was not received completely, or the owner has received none from discovery.
    pub fn endpoint_list(&self) -> Option<EndpointList> {
        let mut list: Option<EndpointList> = None;
        for message in self.messages.iter().filter(|_| self.is_complete) {
            let HandoverMessage::Endpoints { revision, members } = message else { continue };
            let empty = EndpointList { revision: *revision, complete: true, members: Vec::new() };
            list.get_or_insert(empty).members.extend_from_slice(members);
        }
        list
    }
}

/// Requests the state of the process that owns the folder, and stays connected to that process. If the transfer fails
/// or takes longer than [`HANDOVER_TIMEOUT`], returns the messages received by then.
pub async fn connect_to_owner(
    folder: &Path,
    peer_process: &Rc<PeerProcess>,
    engine: &mpsc::Sender<Input>,
) -> HandoverState {
    let mut state = HandoverState::default();
    match timeout(HANDOVER_TIMEOUT, request_state(folder, &mut state)).await {
        Ok(Ok((connection, version))) => {
            peer_process.set_version(version);
            connection.spawn_exchange(peer_process.clone(), engine.clone());
        }
        Ok(Err(error)) => {
            tracing::warn!(%error, "handover failed; starting without the owner's state");
        }
        Err(_) => {
            tracing::warn!("handover timed out; starting without the owner's state");
        }
    }
    state
}

/// Reads messages into `state` up to the end of the transfer. An owner that rejects the handshake of this program's version
/// is asked again in the version before.
async fn request_state(
    folder: &Path,
    state: &mut HandoverState,
) -> Result<(Connection, ProtocolVersion), HandoverError> {
    match request_state_in(ProtocolVersion::V2, folder, state).await {
        Err(HandoverError::Incomplete) if state.messages.is_empty() => {
            let connection = request_state_in(ProtocolVersion::V1, folder, state).await?;
            Ok((connection, ProtocolVersion::V1))
        }
        result => Ok((result?, ProtocolVersion::V2)),
    }
}

/// Sends the handshake of a version, and reads messages into `state` up to the end of the transfer.
async fn request_state_in(
    version: ProtocolVersion,
    folder: &Path,
    state: &mut HandoverState,
) -> Result<Connection, HandoverError> {
    let mut connection = Connection::new(UnixStream::connect(folder.join(SOCKET_NAME)).await?);
    connection.writer.write(&HandoverMessage::Hello(version.number())).await?;
    while let Some(message) = connection.reader.read().await? {
        if message == HandoverMessage::FreeSpace {
            state.is_complete = true;
            return Ok(connection);
        }
        state.messages.push(message);
    }
    Err(HandoverError::Incomplete)
}
