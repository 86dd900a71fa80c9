//! The processes of a sender: started with a configuration, killed, stopped, restarted, and replaced under load.

mod launch;
mod probe;
mod resources;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

pub use launch::Launch;
use launch::{Spawned, free_address, log_tail};
use probe::{Probe, Startup};

use crate::client::Address;
use crate::event_log::{Event, EventLog, ProcessState};

/// Time in which a process must exit after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_700);
/// How long clients still connect to a process that is stopping: the time in which they notice the stop.
const STOP_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Backlog of a listening socket that stays open when the process changes.
const BACKLOG: i32 = 128;

/// Error of a sender's process.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// An error of a file, a socket or a signal.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The process exited before it was ready.
    #[error("sender {name} exited before it was ready; last lines of its log: {log}")]
    Exited {
        /// Name of the sender.
        name: String,
        /// The last lines of the process's log, the last one first, separated by ` | `.
        log: String,
    },
    /// The process was not ready in time.
    #[error("sender {name} was not ready in time")]
    TimedOut {
        /// Name of the sender.
        name: String,
    },
}

/// A sender with its folder. Its process may be replaced by another one at any time, or there may be none.
#[derive(Debug)]
pub struct Program {
    name: String,
    launch: Launch,
    folder: PathBuf,
    /// Address at which clients reach the sender, the same for all its processes.
    addr: SocketAddr,
    /// The only processor that the process runs on; `None` for all.
    cpu: Option<usize>,
    child: Option<Child>,
    /// The clients' listening socket, if it stays open when the process changes.
    listener: Option<Socket>,
    /// Address of the sender while it is ready.
    ready: watch::Sender<Option<SocketAddr>>,
    event_log: EventLog,
}

impl Program {
    /// Creates a sender without starting it. `folder` holds the files of all its processes; `config` is written there with
    /// the sender's name and a free address to listen on. If `cpu` is given, the processes run on that processor only.
    ///
    /// # Errors
    ///
    /// If a file in the folder cannot be written or there is no free port.
    pub fn new(
        name: &str,
        launch: &Launch,
        folder: &Path,
        mut config: Value,
        cpu: Option<usize>,
        event_log: &EventLog,
    ) -> Result<Self, ProgramError> {
        // Chosen once, so that the address stays the same over restarts.
        let addr = free_address()?;
        config["listen"] = addr.to_string().into();
        config["name"] = name.into();
        std::fs::create_dir_all(folder.join("state"))?;
        std::fs::write(folder.join("config.json"), config.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            launch: launch.clone(),
            folder: folder.to_owned(),
            addr,
            cpu,
            child: None,
            listener: None,
            ready: watch::channel(None).0,
            event_log: event_log.clone(),
        })
    }

    /// The sender's address for clients, `None` while the sender is not ready.
    pub fn address(&self) -> Address {
        self.ready.subscribe()
    }

    /// Id of the running process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn record_state(&self, state: ProcessState) {
        self.event_log.record(Event::ProcessChanged { sender: self.name.clone(), state });
    }

    fn spawn(&self) -> std::io::Result<Spawned> {
        self.launch.spawn(&self.folder, self.cpu, self.listener.as_ref())
    }

    /// Starts a process, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// If the process does not start or is not ready in time.
    pub async fn start(&mut self) -> Result<(), ProgramError> {
        let Spawned { mut child, .. } = self.spawn()?;
        let startup = Probe::Clients(self.addr).wait_until_ready(&mut child).await?;
        self.check_startup(startup)?;
        self.child = Some(child);
        self.record_state(ProcessState::Ready);
        self.ready.send_replace(Some(self.addr));
        Ok(())
    }

    fn check_startup(&self, startup: Startup) -> Result<(), ProgramError> {
        let name = self.name.clone();
        match startup {
            Startup::Ready => Ok(()),
            Startup::Exited => Err(ProgramError::Exited { name, log: log_tail(&self.folder) }),
            Startup::TimedOut => Err(ProgramError::TimedOut { name }),
        }
    }

    /// Opens the clients' listening socket here and lets all later processes inherit it, so that a process can take over
    /// from another one without refused connections.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn keep_listener(&mut self) -> Result<(), ProgramError> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&self.addr.into())?;
        listener.listen(BACKLOG)?;
        listener.set_cloexec(false)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Starts a second process, and stops the first one when the second is ready. Returns whether the first process exited
    /// cleanly and in time. Does nothing if no process runs.
    ///
    /// # Errors
    ///
    /// If the second process does not start or is not ready in time, or [`Program::keep_listener`] was not called.
    pub async fn upgrade(&mut self) -> Result<bool, ProgramError> {
        let Some(mut old) = self.child.take() else { return Ok(true) };
        let Spawned { child: mut new, control } = self.spawn()?;
        let Some(control) = control else { return Err(ProgramError::TimedOut { name: self.name.clone() }) };
        let startup = Probe::Control(control).wait_until_ready(&mut new).await?;
        self.check_startup(startup)?;
        self.child = Some(new);
        terminate(&mut old).await
    }

    /// Replaces values of top-level keys in the sender's configuration, and makes the running process reload it (SIGHUP).
    ///
    /// # Errors
    ///
    /// If the file cannot be replaced or the process cannot be signalled.
    pub async fn reconfigure(&mut self, keys: &[(&str, Value)]) -> Result<(), ProgramError> {
        let path = self.folder.join("config.json");
        let mut config: Value =
            serde_json::from_slice(&std::fs::read(&path)?).map_err(std::io::Error::other)?;
        for (key, value) in keys {
            config[*key] = value.clone();
        }
        // The file is replaced atomically, so that a reader sees either the old or the new one.
        let new = self.folder.join("config.json.new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, path)?;
        if let Some(pid) = self.pid() {
            Command::new("kill").args(["-HUP", &pid.to_string()]).status().await?;
        }
        Ok(())
    }

    /// Kills the running process (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// If the process cannot be waited for.
    pub async fn kill(&mut self) -> Result<(), ProgramError> {
        if let Some(mut child) = self.child.take() {
            self.record_state(ProcessState::Terminating);
            self.ready.send_replace(None);
            child.kill().await?;
            self.record_state(ProcessState::Exited);
        }
        Ok(())
    }

    /// Stops the running process (SIGTERM) and waits until it has exited; clients still connect for a short time. Returns
    /// whether the process exited cleanly and in time, or none was running.
    ///
    /// # Errors
    ///
    /// If the process cannot be signalled or waited for.
    pub async fn stop(&mut self) -> Result<bool, ProgramError> {
        let Some(mut child) = self.child.take() else { return Ok(true) };
        self.record_state(ProcessState::Terminating);
        let ready = self.ready.clone();
        let hide_from_clients = async {
            sleep(STOP_NOTICE_DELAY).await;
            ready.send_replace(None);
        };
        let (exited_cleanly, ()) = tokio::join!(terminate(&mut child), hide_from_clients);
        self.record_state(ProcessState::Exited);
        exited_cleanly
    }
}

/// Sends SIGTERM to a process and waits until it has exited; kills it after [`STOP_TIMEOUT`]. Returns whether it exited
/// cleanly and in time.
async fn terminate(child: &mut Child) -> Result<bool, ProgramError> {
    if let Some(pid) = child.id() {
        Command::new("kill").args(["-TERM", &pid.to_string()]).status().await?;
    }
    if let Ok(status) = timeout(STOP_TIMEOUT, child.wait()).await {
        Ok(status?.success())
    } else {
        child.kill().await?;
        Ok(false)
    }
}
