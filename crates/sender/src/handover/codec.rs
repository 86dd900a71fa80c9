//! The encoding of messages between two processes of a sender: one JSON value on each line, in both directions.

use std::io;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};

use super::message::HandoverMessage;

/// Maximum encoded length of a [`HandoverMessage`] with its line end, in bytes.
const MAX_MESSAGE_LEN: u64 = 2_048;

/// Why a connection between two processes of a sender failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandoverError {
    /// Reading or writing the socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A received line is not a message of this protocol version.
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The process that owns the state folder closed the connection before the end of the state transfer.
    #[error(
        "the process that owns the state folder closed the connection before the end of the state transfer"
    )]
    Incomplete,
}

/// Reads messages from the other process.
#[derive(Debug)]
pub(super) struct MessageReader(BufReader<OwnedReadHalf>);

impl MessageReader {
    pub(super) fn new(socket: OwnedReadHalf) -> Self {
        Self(BufReader::new(socket))
    }

    /// Reads the next message; `None` once the connection is closed.
    ///
    /// # Errors
    ///
    /// [`HandoverError`] if reading fails, or if the line is longer than [`MAX_MESSAGE_LEN`] or not a message.
    pub(super) async fn read(&mut self) -> Result<Option<HandoverMessage>, HandoverError> {
        let mut line = Vec::new();
        (&mut self.0).take(MAX_MESSAGE_LEN).read_until(b'\n', &mut line).await?;
        if line.is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&line)?))
    }
}

/// Writes messages to the other process.
#[derive(Debug)]
pub(super) struct MessageWriter(OwnedWriteHalf);

impl MessageWriter {
    pub(super) fn new(socket: OwnedWriteHalf) -> Self {
        Self(socket)
    }

    /// Writes a message as one line.
    ///
    /// # Errors
    ///
    /// [`HandoverError`] if writing fails.
    pub(super) async fn write(&mut self, message: &HandoverMessage) -> Result<(), HandoverError> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        self.0.write_all(&line).await?;
        Ok(())
    }
}
