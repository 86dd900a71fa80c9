//! A connection between two processes of a sender. Both processes send messages until one of them exits.

use std::rc::Rc;

use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::HANDOVER_TIMEOUT;
use super::codec::{MessageReader, MessageWriter};
use super::message::HandoverMessage;
use super::peer_process::PeerProcess;
use crate::event::Input;

/// Maximum number of messages that wait to be written; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 2_048;

/// Both directions of a connection to the other process.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) reader: MessageReader,
    pub(super) writer: MessageWriter,
}

impl Connection {
    pub(super) fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader: MessageReader::new(reader), writer: MessageWriter::new(writer) }
    }

    /// Connects `peer_process` and spawns the task that sends and receives messages. The task ends when the connection
    /// fails or is closed, or when the engine has ended, and reports the disconnection to the engine.
    pub(super) fn spawn_exchange(self, peer_process: Rc<PeerProcess>, engine: mpsc::Sender<Input>) {
        let (outgoing, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        peer_process.connect(outgoing);
        let Self { reader, writer } = self;
        spawn_local(async move {
            tokio::select! {
                () = receive(reader, &engine) => {}
                () = transmit(writer, queue) => {}
            }
            peer_process.disconnect();
            let _ = engine.send(Input::PeerProcessDisconnected).await;
        });
    }
}

/// Sends received messages to the engine, until the connection fails or is closed, or the engine has ended.
async fn receive(mut reader: MessageReader, engine: &mpsc::Sender<Input>) {
    while let Ok(Some(message)) = reader.read().await {
        let Some(input) = message.into_input() else { continue };
        if engine.send(input).await.is_err() {
            return;
        }
    }
}

/// Writes queued messages, until a write fails or times out, or the connection is removed from [`PeerProcess`].
async fn transmit(mut writer: MessageWriter, mut queue: mpsc::Receiver<HandoverMessage>) {
    while let Some(message) = queue.recv().await {
        let written = timeout(HANDOVER_TIMEOUT, writer.write(&message)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
