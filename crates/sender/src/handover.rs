//! State transfer between a running process and the one that takes over from it, over a Unix socket in the state folder.
//!
//! The transferred state (outages, Retry-After backoffs, calls in flight, free disk space) is advisory: a process that
//! does not receive it works without it. Messages are transferred by the journal alone.

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
/// Protocol version of this program; a connection that announces another one is closed without an answer.
const VERSION: u32 = 1;
/// How long a starting process waits for the running process's state before continuing without it, and how long either
/// waits for the other's handshake or for a message to be written.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
