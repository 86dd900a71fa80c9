//! A sender's process: started with a configuration, killed, stopped, started again.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::client::Address;
use crate::event_log::{Event, EventLog, ProcessState};

/// A sender is ready after so long, or never.
const START: Duration = Duration::from_secs(20);
/// After SIGTERM it has ended after so long, or is killed.
const STOP: Duration = Duration::from_millis(3_700);

/// Connections that may wait at a kept door.
const BACKLOG: i32 = 128;

/// A sender that cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// A file or socket.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It ended before it was ready.
    #[error("{name} ended before it was ready: {log}")]
    Ended {
        /// Which.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// It was not ready in time.
    #[error("{name} was not ready in time")]
    Late {
        /// Which.
        name: String,
    },
}

/// The program that is a sender, and its arguments.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// What it takes to be a sender.
    pub arguments: Vec<String>,
    /// Variables that it gets besides those of every sender.
    pub variables: Vec<(String, String)>,
}

impl From<&Path> for Launch {
    fn from(program: &Path) -> Self {
        Self { program: program.to_owned(), arguments: Vec::new(), variables: Vec::new() }
    }
}

/// One sender and its folder, through all its processes.
#[derive(Debug)]
pub struct Program {
    name: String,
    launch: Launch,
    folder: PathBuf,
    addr: SocketAddr,
    cpu: Option<usize>,
    child: Option<Child>,
    /// The clients' listening socket, if it outlasts the processes.
    door: Option<Socket>,
    ready: watch::Sender<Option<SocketAddr>>,
    evidence: EventLog,
}

impl Program {
    /// A sender that is not started yet. `folder` outlasts its processes; `config` is written there with an
    /// address to listen on. On `cpu` alone, if given and the machine can.
    ///
    /// # Errors
    ///
    /// If the folder or a port cannot be had.
    pub fn new(
        name: &str,
        launch: &Launch,
        folder: &Path,
        mut config: Value,
        cpu: Option<usize>,
        evidence: &EventLog,
    ) -> Result<Self, ProgramError> {
        // Free now, and so most likely also in a moment; kept over restarts.
        let addr = StdListener::bind("127.0.0.1:0")?.local_addr()?;
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
            door: None,
            ready: watch::channel(None).0,
            evidence: evidence.clone(),
        })
    }

    /// Where it is while it is ready.
    pub fn address(&self) -> Address {
        self.ready.subscribe()
    }

    /// Its process's id, while it has one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn record_state(&self, state: ProcessState) {
        self.evidence.record(Event::ProcessChanged { sender: self.name.clone(), state });
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// If it does not start or is not ready in time.
    pub async fn start(&mut self) -> Result<(), ProgramError> {
        let (mut child, _) = self.spawn()?;
        let up = async {
            loop {
                if child.try_wait()?.is_some() {
                    return Ok::<bool, std::io::Error>(false);
                }
                if is_ready(self.addr).await {
                    return Ok(true);
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        match timeout(START, up).await {
            Ok(Ok(true)) => {
                self.child = Some(child);
                self.record_state(ProcessState::Ready);
                self.ready.send_replace(Some(self.addr));
                Ok(())
            }
            Ok(Ok(false)) => Err(ProgramError::Ended { name: self.name.clone(), log: self.last_of_log() }),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(ProgramError::Late { name: self.name.clone() }),
        }
    }

    /// One more process, and where operators reach it if it has a kept door.
    fn spawn(&self) -> Result<(Child, Option<SocketAddr>), ProgramError> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = match self.cpu {
            Some(cpu) => {
                let mut command = Command::new("taskset");
                command.arg("-c").arg(cpu.to_string()).arg(&self.launch.program);
                command
            }
            None => Command::new(&self.launch.program),
        };
        let mut control = None;
        if let Some(door) = &self.door {
            // Free now, and so most likely also in a moment.
            let addr = StdListener::bind("127.0.0.1:0")?.local_addr()?;
            command
                .env("RELAY_ACCEPT_FD", door.as_raw_fd().to_string())
                .env("RELAY_CONTROL", addr.to_string());
            control = Some(addr);
        }
        let child = command
            .args(&self.launch.arguments)
            .envs(self.launch.variables.clone())
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_STATE", self.folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok((child, control))
    }

    /// Keeps the clients' listening socket for all its processes, so that one can take over from another.
    ///
    /// # Errors
    ///
    /// If the address cannot be had.
    pub fn keep_door(&mut self) -> Result<(), ProgramError> {
        let door = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        door.set_reuse_address(true)?;
        door.bind(&self.addr.into())?;
        door.listen(BACKLOG)?;
        door.set_cloexec(false)?;
        self.door = Some(door);
        Ok(())
    }

    /// Starts it a second time beside itself, and stops the first process once the second says that it can serve.
    /// Whether the first ended well, and in time. It needs a kept door; without a process it does nothing.
    ///
    /// # Errors
    ///
    /// If the second does not start or is not ready in time.
    pub async fn upgrade(&mut self) -> Result<bool, ProgramError> {
        let Some(mut old) = self.child.take() else { return Ok(true) };
        let (mut new, control) = self.spawn()?;
        let Some(control) = control else { return Err(ProgramError::Late { name: self.name.clone() }) };
        let up = async {
            while !serves(control).await {
                if new.try_wait()?.is_some() {
                    return Ok::<bool, std::io::Error>(false);
                }
                sleep(Duration::from_millis(5)).await;
            }
            Ok(true)
        };
        match timeout(START, up).await {
            Ok(Ok(true)) => self.child = Some(new),
            Ok(Ok(false)) => {
                return Err(ProgramError::Ended { name: self.name.clone(), log: self.last_of_log() });
            }
            Ok(Err(error)) => return Err(error.into()),
            Err(_) => return Err(ProgramError::Late { name: self.name.clone() }),
        }
        terminate(&mut old).await
    }

    fn last_of_log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().rev().take(3).collect::<Vec<_>>().join(" | ")
    }

    /// Replaces keys of its configuration, and tells its process, if it has one, to read it again.
    ///
    /// # Errors
    ///
    /// If the file cannot be replaced or the process not be told.
    pub async fn reconfigure(&mut self, keys: &[(&str, Value)]) -> Result<(), ProgramError> {
        let path = self.folder.join("config.json");
        let mut config: Value =
            serde_json::from_slice(&std::fs::read(&path)?).map_err(std::io::Error::other)?;
        for (key, value) in keys {
            config[*key] = value.clone();
        }
        // Replaced as a whole: whoever reads it now reads one or the other.
        let new = self.folder.join("config.json.new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, path)?;
        if let Some(pid) = self.pid() {
            Command::new("kill").args(["-HUP", &pid.to_string()]).status().await?;
        }
        Ok(())
    }

    /// Its processor time so far, microseconds, from the process's own accounting.
    pub fn cpu_us(&self) -> Option<u64> {
        // utime and stime are the 14th and 15th fields; the name before them may hold spaces.
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid()?)).ok()?;
        let ns: u64 = stat.split_whitespace().next()?.parse().ok()?;
        Some(ns / 1_000)
    }

    /// The most memory that it held, KiB.
    pub fn peak_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Kills it outright.
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

    /// Asks it to stop and waits until it has; clients go on coming for a while. Whether it ended well.
    ///
    /// # Errors
    ///
    /// If it cannot be told or waited for.
    pub async fn stop(&mut self) -> Result<bool, ProgramError> {
        let Some(mut child) = self.child.take() else { return Ok(true) };
        self.record_state(ProcessState::Terminating);
        let ready = self.ready.clone();
        let clients_notice = async {
            sleep(Duration::from_millis(300)).await;
            ready.send_replace(None);
        };
        let (ended, ()) = tokio::join!(terminate(&mut child), clients_notice);
        self.record_state(ProcessState::Exited);
        ended
    }
}

/// Asks a process to stop and waits until it has; one that has not in time is killed. Whether it ended well.
async fn terminate(child: &mut Child) -> Result<bool, ProgramError> {
    if let Some(pid) = child.id() {
        Command::new("kill").args(["-TERM", &pid.to_string()]).status().await?;
    }
    match timeout(STOP, child.wait()).await {
        Ok(status) => Ok(status?.success()),
        Err(_) => {
            child.kill().await?;
            Ok(false)
        }
    }
}

/// Whether a process says to operators that it can serve.
async fn serves(control: SocketAddr) -> bool {
    answers(control, b"status\n", b"done").await
}

/// Whether it is ready for clients.
async fn is_ready(addr: SocketAddr) -> bool {
    let ask = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    answers(addr, ask, b"HTTP/1.1 200").await
}

/// Whether what is asked there is answered soon, and so.
async fn answers<const N: usize>(addr: SocketAddr, ask: &[u8], wanted: &[u8; N]) -> bool {
    let answer = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(ask).await.ok()?;
        let mut head = [0; N];
        stream.read_exact(&mut head).await.ok()?;
        Some(&head == wanted)
    };
    timeout(Duration::from_secs(1), answer).await.ok().flatten().unwrap_or(false)
}
