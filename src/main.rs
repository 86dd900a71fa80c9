//! One real sender: reads its configuration, wires the parts together and heeds signals.
#![forbid(unsafe_code)]

/// A line for the log. That nobody reads it any more is no reason to fail.
macro_rules! log {
    ($($line:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), $($line)*);
    }};
}

mod net;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle::interface::{Settings, SettingsError};
use rudderspindle::settings::{self, Names, ReadError};
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use net::discovery::{self, List};
use net::host::{Host, Input, Parts};
use net::inbound::{self, Inbound};
use net::outbound::Outbound;
use net::reports::Reports;
use net::store::Store;

/// Inputs that may wait for the host.
const QUEUE: usize = 4096;
/// Descriptors that are neither clients' nor receivers': files, the listener, discovery, the runtime's.
const OTHER_SOCKETS: usize = 40;
/// Part of the memory limit for bodies that have not come whole, and between which limits it is reckoned.
const BODY_PART: f64 = 0.125;
const MEMORY_MB: (f64, f64) = (8.0, 192.0);
/// What was answered last still has to reach the sockets when the host is done.
const LAST_WRITES: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct Limits {
    sockets: usize,
    disk_mb: f64,
    #[serde(default)]
    memory_mb: f64,
}

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0} is not set")]
    Unset(&'static str),
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Malformed { path: PathBuf, error: serde_json::Error },
    #[error("limits.sockets: {0} are too few")]
    FewSockets(usize),
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Read(#[from] ReadError),
    #[error("settings name {names} classes of message and tell of {classes}")]
    Names { names: usize, classes: usize },
    #[error("class {0} asks for order, and messages come without a key to keep it by")]
    Ordered(String),
    #[error("the journal in {path} cannot be used: {error}")]
    Journal { path: PathBuf, error: std::io::Error },
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: std::io::Error },
    #[error("{0}")]
    Runtime(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("rudderspindle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let variable = |name| std::env::var_os(name).map(PathBuf::from).ok_or(StartError::Unset(name));
    let (path, state) = (variable("RELAY_CONFIG")?, variable("RELAY_STATE")?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(&path, &state))
}

/// A configuration that can work, with its settings in the module's terms.
struct Usable {
    config: Config,
    settings: Settings,
    names: Names,
}

impl Usable {
    fn read(path: &Path) -> Result<Self, StartError> {
        let path = path.to_owned();
        let text =
            std::fs::read(&path).map_err(|error| StartError::Unreadable { path: path.clone(), error })?;
        let config: Config =
            serde_json::from_slice(&text).map_err(|error| StartError::Malformed { path, error })?;
        let settings = settings::read(&config.settings)?;
        let names = settings::names(&config.settings)?;
        settings.validate()?;
        if names.classes.len() != settings.classes.len() {
            let (names, classes) = (names.classes.len(), settings.classes.len());
            return Err(StartError::Names { names, classes });
        }
        let mut classes = names.classes.iter().zip(&settings.classes);
        if let Some((name, _)) = classes.find(|(_, class)| class.ordered) {
            return Err(StartError::Ordered(name.clone()));
        }
        if config.limits.share() == 0 {
            return Err(StartError::FewSockets(config.limits.sockets));
        }
        Ok(Self { config, settings, names })
    }
}

impl Limits {
    /// Descriptors for clients, and as many for receivers.
    fn share(&self) -> usize {
        self.sockets.saturating_sub(OTHER_SOCKETS) / 2
    }

    /// Memory for bodies that have not come whole.
    fn body_bytes(&self) -> usize {
        (self.memory_mb.clamp(MEMORY_MB.0, MEMORY_MB.1) * 1_000_000.0 * BODY_PART) as usize
    }
}

/// On each SIGHUP the configuration is read again; its `discovery` is in force from then on.
async fn reread(mut hangup: Signal, path: &Path, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Usable::read(path) {
            Ok(usable) => {
                let to = usable.config.discovery;
                log!("configuration read again: discovery at {to}");
                discovery.send_if_modified(|addr| std::mem::replace(addr, to) != to);
            }
            Err(error) => log!("configuration left as it was: {error}"),
        }
    }
}

async fn run(path: &Path, state: &Path) -> Result<(), StartError> {
    // Before anything else: until it is heeded, a signal ends the program.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let Usable { config, settings, names } = Usable::read(path)?;
    let share = config.limits.share();
    let budget = (config.limits.disk_mb.max(0.0) * 1_000_000.0) as u64;
    let store =
        Store::open(state, budget).map_err(|error| StartError::Journal { path: state.to_owned(), error })?;
    let (to_host, inputs) = mpsc::channel(QUEUE);
    let (stop, stopping) = watch::channel(false);
    let outbound = Rc::new(Outbound::new(&settings, share, to_host.clone()));
    let reports = Rc::new(Reports::default());
    let seed = u64::from_str_radix(&config.seed, 16).unwrap_or_default();
    let known = config.known.unwrap_or(List { revision: 0, complete: true, members: Vec::new() });
    let parts = Parts {
        settings: settings.clone(),
        names: names.clone(),
        seed,
        store,
        outbound: outbound.clone(),
        reports: reports.clone(),
        inputs,
    };
    // What the journal holds is taken up before the first client is heard.
    // The list that the agent has is what this sender has been told, whatever its revision: those of `known`
    // may be another address's.
    let fetched = discovery::fetch(config.discovery).await;
    let revision = fetched.as_ref().map(|list| list.revision);
    let host = Host::new(parts, &known, fetched.as_ref())?;
    let addr = config.listen;
    let listener = TcpListener::bind(addr).await.map_err(|error| StartError::Listen { addr, error })?;
    log!("listening on {}", listener.local_addr()?);
    let (discovery, address) = watch::channel(config.discovery);
    spawn_local(discovery::watch(address.clone(), revision, to_host.clone()));
    spawn_local({
        let to_host = to_host.clone();
        async move { reports.run(address, to_host).await }
    });
    spawn_local({
        let path = path.to_owned();
        async move { reread(hangup, &path, discovery).await }
    });
    spawn_local(async move { outbound.sweep().await });
    let limits = inbound::Limits { sockets: share, body_bytes: config.limits.body_bytes() };
    let inbound = Rc::new(Inbound::new(settings, names, limits, to_host.clone(), stopping));
    spawn_local(inbound.run(listener));
    spawn_local(async move {
        terminate.recv().await;
        log!("stopping");
        stop.send_replace(true);
        let _ = to_host.send(Input::Stop).await;
        // Clients' connections watch it until the end.
        std::future::pending::<()>().await;
        drop(stop);
    });
    host.run().await;
    tokio::time::sleep(LAST_WRITES).await;
    Ok(())
}
