//! Program, arguments and environment with which a sender's process is started.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use socket2::Socket;
use tokio::process::{Child, Command};

/// Number of lines of a process's log that an error shows.
const LOG_TAIL_LINES: usize = 3;

/// The sender's program with its arguments and environment.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments with which the program runs as a sender.
    pub arguments: Vec<String>,
    /// Names and values of environment variables, besides those that every sender gets.
    pub variables: Vec<(String, String)>,
}

impl From<&Path> for Launch {
    fn from(program: &Path) -> Self {
        Self { program: program.to_owned(), arguments: Vec::new(), variables: Vec::new() }
    }
}

/// A started process.
#[derive(Debug)]
pub(super) struct Spawned {
    pub(super) child: Child,
    /// Address of the control listener; `None` unless the process inherits a listening socket.
    pub(super) control: Option<SocketAddr>,
}

/// A free address on loopback. Another process could bind it before the sender does, which is unlikely.
pub(super) fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Launch {
    /// Starts a process with its files in `folder`, on the processor `cpu` only if it is given, and with `listener` as
    /// inherited listening socket if there is one.
    ///
    /// # Errors
    ///
    /// If the log cannot be opened, no port is free or the program cannot be started.
    pub(super) fn spawn(
        &self,
        folder: &Path,
        cpu: Option<usize>,
        listener: Option<&Socket>,
    ) -> std::io::Result<Spawned> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let mut command = self.command(cpu);
        let control = match listener {
            Some(_) => Some(free_address()?),
            None => None,
        };
        if let (Some(listener), Some(control)) = (listener, control) {
            command.env("RELAY_ACCEPT_FD", listener.as_raw_fd().to_string());
            command.env("RELAY_CONTROL", control.to_string());
        }
        let child = command
            .args(&self.arguments)
            .envs(self.variables.clone())
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_STATE", folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Spawned { child, control })
    }

    fn command(&self, cpu: Option<usize>) -> Command {
        let Some(cpu) = cpu else { return Command::new(&self.program) };
        let mut command = Command::new("taskset");
        command.arg("-c").arg(cpu.to_string()).arg(&self.program);
        command
    }
}

/// The last lines of the log in a process's folder, the last one first, separated by ` | `.
pub(super) fn log_tail(folder: &Path) -> String {
    let log = std::fs::read_to_string(folder.join("log")).unwrap_or_default();
    log.lines().rev().take(LOG_TAIL_LINES).collect::<Vec<_>>().join(" | ")
}
