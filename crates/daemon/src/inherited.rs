//! A listening socket that the platform keeps, so that clients come by it while processes are replaced.
//!
//! `RELAY_ACCEPT_FD` names the descriptor. `listenfd` takes such sockets and checks what they are; it goes by systemd's
//! names for the variables, which only a new program image can be given without `unsafe`: so this one starts itself
//! again, once, in its own place, with the variables translated.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;

/// The platform's name for it.
const ACCEPT_FD: &str = "RELAY_ACCEPT_FD";
/// systemd's: how many, and which is the first.
const LISTEN_FDS: &str = "LISTEN_FDS";
const LISTEN_FDS_FIRST_FD: &str = "LISTEN_FDS_FIRST_FD";
const LISTEN_PID: &str = "LISTEN_PID";
/// Descriptors below are the standard ones.
const FIRST: u32 = 3;

/// Why an inherited socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DoorError {
    #[error("{ACCEPT_FD} is {0:?}, not the number of a descriptor from {FIRST} on")]
    Number(String),
    #[error("{ACCEPT_FD}: the descriptor is no listening TCP socket: {0}")]
    Socket(std::io::Error),
    #[error("{ACCEPT_FD}: the program cannot start itself again: {0}")]
    Again(std::io::Error),
}

/// Starts this program again with the variables as `listenfd` reads them, if the platform's is set; then it does not
/// return. The descriptor stays open over that, as it did over the start.
pub fn translate() -> Result<(), DoorError> {
    let Some(text) = std::env::var_os(ACCEPT_FD).filter(|text| !text.is_empty()) else { return Ok(()) };
    let text = text.to_string_lossy().into_owned();
    let number = text.parse::<u32>().ok().filter(|&number| number >= FIRST).ok_or(DoorError::Number(text))?;
    let program = std::env::current_exe().map_err(DoorError::Again)?;
    let error = Command::new(program)
        .args(std::env::args_os().skip(1))
        .env_remove(ACCEPT_FD)
        .env_remove(LISTEN_PID)
        .env(LISTEN_FDS, "1")
        .env(LISTEN_FDS_FIRST_FD, number.to_string())
        .exec();
    Err(DoorError::Again(error))
}

/// The socket, if there is one.
pub fn door() -> Result<Option<TcpListener>, DoorError> {
    ListenFd::from_env().take_tcp_listener(0).map_err(DoorError::Socket)
}
