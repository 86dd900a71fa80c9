//! State transfer from a running process to its successor, over a Unix socket in the state folder.
//!
//! The transferred state (outages, Retry-After backoffs, calls in flight, free disk space) is advisory: a successor
//! that does not receive it works without it. Messages are transferred by the journal alone.

mod codec;
mod connection;
mod message;
mod owner;
mod peer_process;
mod successor;

#[cfg(test)]
mod golden;

use std::time::Duration;

pub use message::{HandoverMessage, OutageState};
pub use owner::accept_successors;
pub use peer_process::PeerProcess;
pub use successor::{HandoverState, connect_to_owner};

/// File name of the socket in the state folder.
const SOCKET_NAME: &str = "handover";
/// Protocol version of this program; a connection that announces another one is closed without a response.
const VERSION: u32 = 1;
/// How long a successor waits for the owner's state before it starts without it, and how long either waits for the
/// other's handshake or for a message to be written.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
