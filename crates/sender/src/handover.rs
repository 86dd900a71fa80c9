//! State transfer from a running process of this sender to its successor, over a Unix socket in the state folder. The
//! running process is the owner: it owns the journal in the state folder.
//!
//! The transferred state (outages, Retry-After backoffs, calls in flight, disk space) is advisory: a successor
//! that does not receive it starts without it. Accepted messages are transferred through the journal only.
//!
//! After the transfer both processes exchange their backoffs and calls in flight, and claim the ids of new messages from
//! each other.

mod codec;
mod connection;
mod message;
mod owner;
mod peer_process;
mod successor;
mod version;

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use message::{HandoverMessage, OutageState};
pub use owner::accept_successors;
pub use peer_process::PeerProcess;
pub use successor::{HandoverState, connect_to_owner};

/// File name of the socket in the state folder.
const SOCKET_NAME: &str = "handover";
/// Timeout of the state transfer, after which a successor starts without the owner's state. Also the timeout of a
/// handshake, of the disconnection of an earlier successor, and of each write.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
