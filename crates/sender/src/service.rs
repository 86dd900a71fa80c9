//! One sender, put together: journal, engine, ways in and out, membership and notices.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_gossip::RecoveryRamp;
use rudderspindle_journal::{Store, wall_ms};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

use crate::admission_state::AdmissionState;
use crate::config::{StartError, ValidatedConfig};
use crate::control::ControlListener;
use crate::discovery;
use crate::engine::{Engine, EngineDependencies};
use crate::event::{Input, List};
use crate::gossip::{FLEET, FleetSettings, GossipTask};
use crate::handover::{self, HandoverState, PeerProcess};
use crate::inbound::{self, Inbound};
use crate::incarnation;
use crate::metrics::Metrics;
use crate::notifications::Notifications;
use crate::outbound::Outbound;
use crate::poll_schedule::PollSchedule;

/// Inputs that may wait for the engine.
const QUEUE: usize = 4096;
/// How often a successor looks whether the process that owns the journal has ended.
const SUCCEED: Duration = Duration::from_millis(20);

/// A sender that listens, and runs once [`Service::run`] is polled.
pub struct Service {
    engine: Engine,
    inbound: Rc<Inbound>,
    control: Control,
    addr: SocketAddr,
}

/// Tells a running [`Service`] what its operator wants. Clones tell the same one.
#[derive(Clone, Debug)]
pub struct Control {
    to_engine: mpsc::Sender<Input>,
    door: watch::Sender<AdmissionState>,
    discovery: watch::Sender<SocketAddr>,
    peer_process: Rc<PeerProcess>,
    shared_door: bool,
}

impl Service {
    /// Takes up what the journal in the folder `state` holds, and listens. Its tasks run on the current
    /// [`tokio::task::LocalSet`], and end with it; to drop that is what a kill is to the program.
    ///
    /// With `door`, a listening socket that another process of this sender may hold as well, clients come by that
    /// instead of by the configured address; then a process may already use the folder: this one is its successor.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the journal or an address cannot be had.
    pub async fn start(
        config: ValidatedConfig,
        state: &Path,
        door: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        let ValidatedConfig { config, settings, names, fleet } = config;
        // First of all: who cannot listen leaves the folder alone.
        let shared_door = door.is_some();
        let listener = clients(door, config.listen).await?;
        let addr =
            listener.local_addr().map_err(|error| StartError::Listen { addr: config.listen, error })?;
        let control = match config.control {
            Some(addr) => Some(bind(addr).await?),
            None => None,
        };
        let notes = config.notes().filter(|notes| notes.peers.len() >= fleet.share().from());
        let strict = fleet.share().is_strict() && notes.is_some();
        let together = fleet.share().judges() || fleet.share().counts();
        let share = config.limits.share();
        let budget = (config.limits.disk_mb.max(0.0) * 1_000_000.0) as u64;
        let mut store = Store::open(state, budget)
            .map_err(|error| StartError::Journal { path: state.to_owned(), error })?;
        let (to_engine, inputs) = mpsc::channel(QUEUE);
        let peer_process = Rc::new(PeerProcess::default());
        let told = if store.is_owner() {
            spawn_local(handover::expect(state.to_owned(), peer_process.clone(), to_engine.clone()));
            HandoverState::default()
        } else {
            let told = handover::introduce(state, &peer_process, &to_engine).await;
            Engine::hear(&mut store, &told.words);
            spawn_local(succeed(state.to_owned(), peer_process.clone(), to_engine.clone()));
            told
        };
        let (door, at_the_door) = watch::channel(AdmissionState::Accepting);
        let metrics = Rc::new(Metrics::new(&names.classes));
        let outbound = Rc::new(Outbound::new(
            &settings,
            share,
            metrics.clone(),
            peer_process.clone(),
            to_engine.clone(),
        ));
        let reports = Rc::new(Notifications::default());
        let seed = u64::from_str_radix(&config.seed, 16).unwrap_or_default();
        let known = config.known.unwrap_or(List { revision: 0, complete: true, members: Vec::new() });
        let parts = EngineDependencies {
            settings: settings.clone(),
            names: names.clone(),
            seed,
            store,
            outbound: outbound.clone(),
            reports: reports.clone(),
            metrics: metrics.clone(),
            peer_process: peer_process.clone(),
            shared_door,
            notes: notes.is_some(),
            permits: strict,
            views: together && notes.is_some(),
            inputs,
        };
        // What the journal holds is taken up before the first client is heard.
        // The list that the agent has is what this sender has been told, whatever its revision: those of
        // `known` may be another address's.
        // Where many senders ask one discovery that would be one more request of each at the worst moment: it comes
        // with the watch, which starts from the first revision then.
        let start = settings.ramp(0.0);
        let ramp = RecoveryRamp { initial_fraction: start, growth_per_s: settings.ramp(1_000.0) - start };
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
        let pace = PollSchedule::new(settings.discovery, settings.peers_total, seed);
        let fetched = if pace.takes_turns() { None } else { discovery::fetch(config.discovery).await };
        let revision = if pace.takes_turns() { Some(0) } else { fetched.as_ref().map(|list| list.revision) };
        let engine = Engine::new(parts, &known, fetched.as_ref())?;
        for word in told.words {
            if let Some(input) = word.input() {
                let _ = to_engine.send(input).await;
            }
        }
        let (discovery, address) = watch::channel(config.discovery);
        spawn_local(discovery::watch(address.clone(), revision, pace, to_engine.clone()));
        spawn_local({
            let to_engine = to_engine.clone();
            async move { reports.run(address, to_engine).await }
        });
        spawn_local(async move { outbound.sweep().await });
        if let Some(notes) = notes {
            let life = if strict || together {
                let life = incarnation::begin(state, wall_ms());
                Some(life.map_err(|error| StartError::State { path: state.to_owned(), error })?)
            } else {
                None
            };
            tracing::info!(target: FLEET, senders = notes.peers.len(), strict, "limits are shared by notes");
            let together = FleetSettings { file: fleet, quotas, life };
            spawn_local(GossipTask::new(notes, ramp, together).run(to_engine.clone()));
        }
        let limits = inbound::Limits { sockets: share, body_bytes: config.limits.body_bytes() };
        let inbound =
            Rc::new(Inbound::new(settings, names, limits, metrics.clone(), to_engine.clone(), at_the_door));
        spawn_local(inbound.clone().run(listener));
        if let Some(listener) = control {
            if let Ok(addr) = listener.local_addr() {
                tracing::info!("operators: listening on {addr}");
            }
            let operator = ControlListener { metrics, door: door.clone(), host: to_engine.clone() };
            spawn_local(Rc::new(operator).run(listener));
        }
        let control = Control { to_engine, door, discovery, peer_process, shared_door };
        Ok(Self { engine, inbound, control, addr })
    }

    /// Where clients connect.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// For the operator's side.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Runs until [`Control::stop`] has been dealt with.
    pub async fn run(self) {
        // Clients' connections and the watches look at it until the end.
        let _control = self.control;
        self.engine.run().await;
        self.inbound.end().await;
    }
}

impl Control {
    /// Stops the service: it goes on answering for a while, lets calls finish, and leaves the rest to the
    /// journal. [`Service::run`] then ends within 3.5 s.
    pub async fn stop(&self) {
        let succeeded = self.shared_door && self.peer_process.is_there();
        self.door.send_replace(if succeeded {
            AdmissionState::HandingOver
        } else {
            AdmissionState::Stopping
        });
        let _ = self.to_engine.send(Input::Stop).await;
    }

    /// Puts what of a new configuration takes effect at once in force: the address of discovery.
    pub fn configure(&self, config: &ValidatedConfig) {
        let to = config.discovery();
        self.discovery.send_if_modified(|addr| std::mem::replace(addr, to) != to);
    }
}

/// The listener that clients come by.
async fn clients(door: Option<std::net::TcpListener>, addr: SocketAddr) -> Result<TcpListener, StartError> {
    let Some(door) = door else { return bind(addr).await };
    let adopt = |door: std::net::TcpListener| {
        door.set_nonblocking(true)?;
        TcpListener::from_std(door)
    };
    adopt(door).map_err(|error| StartError::Listen { addr, error })
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|error| StartError::Listen { addr, error })
}

/// Has the engine look until the journal is ours; then the next successor may come.
async fn succeed(state: PathBuf, peer_process: Rc<PeerProcess>, host: mpsc::Sender<Input>) {
    loop {
        tokio::time::sleep(SUCCEED).await;
        let (owner, is_owner) = oneshot::channel();
        if host.send(Input::TakeOver(owner)).await.is_err() {
            return;
        }
        if is_owner.await.unwrap_or(false) {
            return handover::expect(state, peer_process, host).await;
        }
    }
}
