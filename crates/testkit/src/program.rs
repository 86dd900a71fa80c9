//! A sender's processes: started with a configuration, killed, stopped, started again, and replaced under load.

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

/// Time within which a process exits after SIGTERM; then it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_700);
/// How long clients still connect to a process that is stopping.
const CLIENTS_NOTICE_STOP: Duration = Duration::from_millis(300);
/// Backlog of a listening socket that outlasts the processes.
const BACKLOG: i32 = 128;

/// Error of a sender's process.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// A file, socket or signal.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It exited before it was ready.
    #[error("{name} ended before it was ready: {log}")]
    Exited {
        /// Name of the sender.
        name: String,
        /// The last lines of its log, the last one first.
        log: String,
    },
    /// It was not ready in time.
    #[error("{name} was not ready in time")]
    TimedOut {
        /// Name of the sender.
        name: String,
    },
}

/// One sender with its folder, through all its processes.
#[derive(Debug)]
pub struct Program {
    name: String,
    launch: Launch,
    folder: PathBuf,
    /// Address at which clients reach it.
    addr: SocketAddr,
    cpu: Option<usize>,
    child: Option<Child>,
    /// The clients' listening socket, if it outlasts the processes.
    listener: Option<Socket>,
    ready: watch::Sender<Option<SocketAddr>>,
    event_log: EventLog,
}

impl Program {
    /// A sender that is not started yet. `folder` outlasts its processes; `config` is written there with an address to
    /// listen on. It runs on the processor `cpu` alone, if one is given.
    ///
    /// # Errors
    ///
    /// If the folder cannot be written or there is no free port.
    pub fn new(
        name: &str,
        launch: &Launch,
        folder: &Path,
        mut config: Value,
        cpu: Option<usize>,
        event_log: &EventLog,
    ) -> Result<Self, ProgramError> {
        // Kept over restarts.
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

    /// Its address while it is ready.
    pub fn address(&self) -> Address {
        self.ready.subscribe()
    }

    /// Id of its process, while it has one.
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
    /// If it does not start or is not ready in time.
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

    /// Keeps the clients' listening socket open over all processes, so that one can take over from another.
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

    /// Starts a second process, and stops the first one when the second can serve. Whether the first exited cleanly
    /// and in time. It needs a kept listener; without a process it does nothing.
    ///
    /// # Errors
    ///
    /// If the second does not start or is not ready in time.
    pub async fn upgrade(&mut self) -> Result<bool, ProgramError> {
        let Some(mut old) = self.child.take() else { return Ok(true) };
        let Spawned { child: mut new, control } = self.spawn()?;
        let Some(control) = control else { return Err(ProgramError::TimedOut { name: self.name.clone() }) };
        let startup = Probe::Control(control).wait_until_ready(&mut new).await?;
        self.check_startup(startup)?;
        self.child = Some(new);
        terminate(&mut old).await
    }

    /// Replaces keys of its configuration, and makes its process, if it has one, read it again.
    ///
    /// # Errors
    ///
    /// If the file cannot be replaced or the process not be signalled.
    pub async fn reconfigure(&mut self, keys: &[(&str, Value)]) -> Result<(), ProgramError> {
        let path = self.folder.join("config.json");
        let mut config: Value =
            serde_json::from_slice(&std::fs::read(&path)?).map_err(std::io::Error::other)?;
        for (key, value) in keys {
            config[*key] = value.clone();
        }
        // Replaced atomically: a reader sees one or the other.
        let new = self.folder.join("config.json.new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, path)?;
        if let Some(pid) = self.pid() {
            Command::new("kill").args(["-HUP", &pid.to_string()]).status().await?;
        }
        Ok(())
    }

    /// Kills its process (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// If it cannot be waited for.
    pub async fn kill(&mut self) -> Result<(), ProgramError> {
        if let Some(mut child) = self.child.take() {
            self.record_state(ProcessState::Terminating);
            self.ready.send_replace(None);
            child.kill().await?;
            self.record_state(ProcessState::Exited);
        }
        Ok(())
    }

    /// Asks its process to stop and waits until it has exited; clients still connect for a short time. Whether it exited
    /// cleanly and in time.
    ///
    /// # Errors
    ///
    /// If it cannot be signalled or waited for.
    pub async fn stop(&mut self) -> Result<bool, ProgramError> {
        let Some(mut child) = self.child.take() else { return Ok(true) };
        self.record_state(ProcessState::Terminating);
        let ready = self.ready.clone();
        let clients_notice = async {
            sleep(CLIENTS_NOTICE_STOP).await;
            ready.send_replace(None);
        };
        let (exited_cleanly, ()) = tokio::join!(terminate(&mut child), clients_notice);
        self.record_state(ProcessState::Exited);
        exited_cleanly
    }
}

/// Asks a process to stop and waits until it has exited; kills it after [`STOP_TIMEOUT`]. Whether it exited cleanly.
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
