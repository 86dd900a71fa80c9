//! A complete sender: starts the engine and the tasks around it, and stops them.

mod fleet;
mod listeners;
mod ownership;
mod tasks;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use rudderspindle_journal::Store;
use rudderspindle_policy::interface::SettingsError;
use tokio::sync::{mpsc, watch};

use crate::admission_state::AdmissionState;
use crate::config::{Config, StartError, ValidatedConfig};
use crate::discovery;
use crate::engine::{Engine, EngineDependencies, EngineIo, LimitSharing, PolicyOptions};
use crate::event::{EndpointList, Input};
use crate::handover::{HandoverMessage, PeerProcess};
use crate::inbound::{self, Inbound};
use crate::poll_schedule::PollSchedule;
use fleet::FleetGossip;
use listeners::Listeners;
use ownership::join_peer_process;
use tasks::Shared;

/// Maximum number of inputs that wait for the engine.
const INPUT_QUEUE_LEN: usize = 4096;
/// Number of bytes in a megabyte. The disk budget is configured in megabytes.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// A sender that listens for clients; its engine runs while [`Service::run`] is polled.
pub struct Service {
    engine: Engine,
    inbound: Rc<Inbound>,
    control: Control,
    addr: SocketAddr,
}

/// Controls a running [`Service`]; clones control the same one.
#[derive(Clone, Debug)]
pub struct Control {
    to_engine: mpsc::Sender<Input>,
    admission_state: watch::Sender<AdmissionState>,
    discovery_address: watch::Sender<SocketAddr>,
    /// The connection to the other process of this sender during a takeover.
    peer_process: Rc<PeerProcess>,
    /// Whether a successor can accept clients from the same listening socket.
    shared_listener: bool,
}

impl Service {
    /// Starts a sender that listens for clients and stores its journal in the folder `state`. The sender's tasks run on
    /// the current [`tokio::task::LocalSet`] and end with it; dropping the set has the same effect as killing the
    /// process.
    ///
    /// `listener` is a listening socket that another process of this sender may hold as well; if given, clients are
    /// accepted on it instead of the configured address. If another process uses the folder, this process is its
    /// successor, and takes over the journal once the other process has ended.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound, the journal cannot be opened, the settings contradict each other,
    /// or the incarnation number cannot be stored.
    pub async fn start(
        config: ValidatedConfig,
        state: &Path,
        listener: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        let ValidatedConfig { mut config, settings, names, fleet } = config;
        let shared_listener = listener.is_some();
        // The listeners are bound before the state folder is used, because a process that cannot listen must not change
        // the folder.
        let listeners = Listeners::bind(&config, listener).await?;
        let gossip = FleetGossip::new(&config, &settings, fleet);
        let mut store = open_store(state, &config)?;
        let (to_engine, inputs) = mpsc::channel(INPUT_QUEUE_LEN);
        let peer_process = Rc::new(PeerProcess::default());
        let handover = join_peer_process(state, &mut store, &peer_process, &to_engine).await;
        let shared = Shared::new(settings, names, config.limits.max_connections(), peer_process, to_engine);

        let seed = seed(&config);
        let schedule = PollSchedule::new(shared.settings.discovery, shared.settings.peers_total, seed);
        // The owner's list is newer than the configured one, and is used if discovery does not respond.
        let fetched_list = fetch_list(&config, &schedule).await.or_else(|| handover.endpoint_list());
        let revision = initial_revision(&schedule, fetched_list.as_ref());
        // The engine is built before the first client is accepted, because recovered messages have priority.
        let dependencies =
            engine_dependencies(&shared, &config, store, inputs, shared_listener, gossip.as_ref());
        let engine = build_engine(dependencies, &mut config, fetched_list.as_ref())?;
        forward_owner_messages(handover.messages, &shared.to_engine).await;

        let (discovery_address, address_updates) = watch::channel(config.discovery);
        shared.spawn_discovery(address_updates.clone(), revision, schedule);
        shared.spawn_notifications(address_updates);
        shared.spawn_idle_sweep();
        if let Some(gossip) = gossip {
            gossip.spawn(state, shared.to_engine.clone())?;
        }
        let (admission_state, state_updates) = watch::channel(AdmissionState::Accepting);
        let inbound = shared.spawn_inbound(listeners.clients, inbound_limits(&config), state_updates);
        if let Some(listener) = listeners.control {
            shared.spawn_control(listener, admission_state.clone());
        }
        let Shared { to_engine, peer_process, .. } = shared;
        let control =
            Control { to_engine, admission_state, discovery_address, peer_process, shared_listener };
        Ok(Self { engine, inbound, control, addr: listeners.addr })
    }

    /// The address on which clients are accepted.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a handle that controls this service.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Runs until the service has stopped after [`Control::stop`].
    pub async fn run(self) {
        // `Control` keeps the channels of the admission state and of the discovery address open until the service has
        // stopped.
        let _control = self.control;
        self.engine.run().await;
        self.inbound.shut_down().await;
    }
}

impl Control {
    /// Shuts down gracefully: serves clients for a short time, waits for calls in flight, and leaves the remaining
    /// messages in the journal. [`Service::run`] ends within 3.5 s.
    pub async fn stop(&self) {
        let has_successor = self.shared_listener && self.peer_process.is_connected();
        let state = if has_successor { AdmissionState::HandingOver } else { AdmissionState::Stopping };
        self.admission_state.send_replace(state);
        // Sending fails only if the engine has ended.
        let _ = self.to_engine.send(Input::Stop).await;
    }

    /// Applies the discovery address of a new configuration. All other values of a configuration take effect only when
    /// a process starts.
    pub fn configure(&self, config: &ValidatedConfig) {
        let new_address = config.discovery();
        self.discovery_address
            .send_if_modified(|address| std::mem::replace(address, new_address) != new_address);
    }
}

/// Opens the journal in the state folder.
fn open_store(state: &Path, config: &Config) -> Result<Store, StartError> {
    let budget = (config.limits.disk_mb.max(0.0) * BYTES_PER_MB) as u64;
    Store::open(state, budget).map_err(|error| StartError::Journal { path: state.to_owned(), error })
}

/// The seed of all random numbers of the process; 0 if the configured text is not a hexadecimal number.
fn seed(config: &Config) -> u64 {
    u64::from_str_radix(&config.seed, 16).unwrap_or_default()
}

/// Fetches the current endpoint list from discovery, because the configured list may be older or from another address.
/// Returns `None` if discovery did not send a list. A sender whose requests are staggered with those of other senders
/// does not fetch the list here (`None`): it receives the list by its watch.
async fn fetch_list(config: &Config, schedule: &PollSchedule) -> Option<EndpointList> {
    if schedule.is_staggered() { None } else { discovery::fetch(config.discovery).await }
}

/// The revision from which the watch on the endpoint list starts: 0 if requests are staggered, otherwise the revision
/// of the fetched list; `None` to request the complete list first.
fn initial_revision(schedule: &PollSchedule, fetched_list: Option<&EndpointList>) -> Option<u64> {
    if schedule.is_staggered() { Some(0) } else { fetched_list.map(|list| list.revision) }
}

fn engine_dependencies(
    shared: &Shared,
    config: &Config,
    store: Store,
    inputs: mpsc::Receiver<Input>,
    shared_listener: bool,
    gossip: Option<&FleetGossip>,
) -> EngineDependencies {
    EngineDependencies {
        policy: PolicyOptions {
            settings: shared.settings.clone(),
            names: shared.names.clone(),
            seed: seed(config),
            limit_sharing: gossip.map_or(LimitSharing::Equal, FleetGossip::limit_sharing),
        },
        store,
        max_pending_bytes: config.limits.pending_bytes(),
        io: EngineIo {
            outbound: shared.outbound.clone(),
            notifications: shared.notifications.clone(),
            metrics: shared.metrics.clone(),
            peer_process: shared.peer_process.clone(),
            inputs,
        },
        shared_listener,
        collect_activity: gossip.is_some_and(FleetGossip::has_fleet_view),
    }
}

/// Builds the engine with the configured endpoint list (empty if none is configured) and the fetched one.
fn build_engine(
    dependencies: EngineDependencies,
    config: &mut Config,
    fetched_list: Option<&EndpointList>,
) -> Result<Engine, SettingsError> {
    let empty_list = EndpointList { revision: 0, complete: true, members: Vec::new() };
    let configured_list = config.known.take().unwrap_or(empty_list);
    Engine::new(dependencies, &configured_list, fetched_list)
}

/// Forwards the messages of the journal's owner to the engine: the backoffs, and the owner's number of calls in flight.
async fn forward_owner_messages(messages: Vec<HandoverMessage>, to_engine: &mpsc::Sender<Input>) {
    for message in messages {
        if let Some(input) = message.into_input() {
            let _ = to_engine.send(input).await;
        }
    }
}

fn inbound_limits(config: &Config) -> inbound::Limits {
    inbound::Limits {
        max_connections: config.limits.max_connections(),
        max_open_body_bytes: config.limits.body_bytes(),
    }
}
