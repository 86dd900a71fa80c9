//! The listening socket that the platform keeps open while processes are replaced.
//!
//! `RELAY_ACCEPT_FD` names its descriptor. `listenfd` validates such a descriptor and takes it over, but reads systemd's
//! variables, and a process cannot set its own variables without `unsafe`. So the program replaces itself once by `exec`,
//! with the variables translated.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;

use crate::environment::non_empty_variable;

/// The platform's variable: the number of the descriptor.
const ACCEPT_FD: &str = "RELAY_ACCEPT_FD";
/// systemd's variable: the number of descriptors.
const LISTEN_FDS: &str = "LISTEN_FDS";
/// systemd's variable: the number of the first descriptor.
const LISTEN_FDS_FIRST_FD: &str = "LISTEN_FDS_FIRST_FD";
/// systemd's variable: the process that the descriptors are passed to.
const LISTEN_PID: &str = "LISTEN_PID";
/// The lowest possible descriptor of a listening socket; lower ones are standard input, output and error.
const MIN_DESCRIPTOR: u32 = 3;

/// Why the inherited socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InheritedListenerError {
    /// The variable's value is not the number of a descriptor.
    #[error("{ACCEPT_FD} is {0:?}, not the number of a descriptor from {MIN_DESCRIPTOR} on")]
    InvalidDescriptor(String),
    /// The descriptor is not a listening TCP socket.
    #[error("{ACCEPT_FD}: the descriptor is no listening TCP socket: {0}")]
    NotAListener(std::io::Error),
    /// The program cannot execute itself again.
    #[error("{ACCEPT_FD}: the program cannot start itself again: {0}")]
    Execute(std::io::Error),
}

/// Executes this program again with the variables that `listenfd` reads, if the platform's variable is set. Returns only
/// on failure or if the variable is not set. The descriptor stays open.
///
/// # Errors
///
/// [`InheritedListenerError::InvalidDescriptor`] and [`InheritedListenerError::Execute`].
pub(crate) fn execute_again_if_inherited() -> Result<(), InheritedListenerError> {
    let Some(value) = non_empty_variable(ACCEPT_FD) else { return Ok(()) };
    let descriptor = parse_descriptor(value.to_string_lossy().into_owned())?;
    let program = std::env::current_exe().map_err(InheritedListenerError::Execute)?;
    let error = Command::new(program)
        .args(std::env::args_os().skip(1))
        .env_remove(ACCEPT_FD)
        .env_remove(LISTEN_PID)
        .env(LISTEN_FDS, "1")
        .env(LISTEN_FDS_FIRST_FD, descriptor.to_string())
        .exec();
    Err(InheritedListenerError::Execute(error))
}

fn parse_descriptor(value: String) -> Result<u32, InheritedListenerError> {
    match value.parse() {
        Ok(descriptor) if descriptor >= MIN_DESCRIPTOR => Ok(descriptor),
        _ => Err(InheritedListenerError::InvalidDescriptor(value)),
    }
}

/// Takes the inherited socket, if there is one.
///
/// # Errors
///
/// [`InheritedListenerError::NotAListener`].
pub(crate) fn take_inherited_listener() -> Result<Option<TcpListener>, InheritedListenerError> {
    ListenFd::from_env().take_tcp_listener(0).map_err(InheritedListenerError::NotAListener)
}
