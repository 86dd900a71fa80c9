//! Spawns the tasks around the engine.
//!
//! The tasks run on the current [`tokio::task::LocalSet`] and end with it at the latest.

use std::net::SocketAddr;
use std::rc::Rc;

use rudderspindle_policy::interface::Settings;
use rudderspindle_policy::settings::Names;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::admission_state::AdmissionState;
use crate::control::ControlListener;
use crate::discovery;
use crate::event::Input;
use crate::handover::PeerProcess;
use crate::inbound::{self, Inbound};
use crate::metrics::Metrics;
use crate::notifications::Notifications;
use crate::outbound::Outbound;
use crate::poll_schedule::PollSchedule;

/// The state that the tasks of one sender share.
#[derive(Debug)]
pub(super) struct Shared {
    /// The settings of the policy and of the tasks.
    pub settings: Settings,
    /// The names of classes, tenants, kinds and zones, by index.
    pub names: Names,
    /// The counters of this process.
    pub metrics: Rc<Metrics>,
    /// Queue of the notifications for the platform.
    pub notifications: Rc<Notifications>,
    /// Starts calls to receivers and health checks.
    pub outbound: Rc<Outbound>,
    /// The connection to the peer process, that is, the other process of this sender during a takeover.
    pub peer_process: Rc<PeerProcess>,
    /// Sends inputs to the engine.
    pub to_engine: mpsc::Sender<Input>,
}

impl Shared {
    /// Creates the shared state; `max_connections` limits the connections to receivers.
    pub fn new(
        settings: Settings,
        names: Names,
        max_connections: usize,
        peer_process: Rc<PeerProcess>,
        to_engine: mpsc::Sender<Input>,
    ) -> Self {
        let metrics = Rc::new(Metrics::new(&names.classes));
        let outbound = Outbound::new(
            &settings,
            max_connections,
            metrics.clone(),
            peer_process.clone(),
            to_engine.clone(),
        );
        let notifications = Rc::new(Notifications::default());
        Self { settings, names, metrics, notifications, outbound: Rc::new(outbound), peer_process, to_engine }
    }

    /// Spawns the task that watches the endpoint list at the discovery `address`, from `revision` on; the task ends
    /// when the engine ends.
    pub fn spawn_discovery(
        &self,
        address: watch::Receiver<SocketAddr>,
        revision: Option<u64>,
        schedule: PollSchedule,
    ) {
        spawn_local(discovery::watch(address, revision, schedule, self.to_engine.clone()));
    }

    /// Spawns the task that delivers notifications to the platform at the discovery address; the task ends when the
    /// engine ends.
    pub fn spawn_notifications(&self, address: watch::Receiver<SocketAddr>) {
        let notifications = self.notifications.clone();
        let to_engine = self.to_engine.clone();
        spawn_local(async move { notifications.run(address, to_engine).await });
    }

    /// Spawns the task that closes idle connections to receivers; the task ends with the local set.
    pub fn spawn_idle_sweep(&self) {
        let outbound = self.outbound.clone();
        spawn_local(async move { outbound.sweep().await });
    }

    /// Spawns the task that accepts clients; [`Inbound::shut_down`] closes their connections. The task ends when the
    /// listener is handed over, or with the local set.
    pub fn spawn_inbound(
        &self,
        listener: TcpListener,
        limits: inbound::Limits,
        admission_state: watch::Receiver<AdmissionState>,
    ) -> Rc<Inbound> {
        let inbound = Rc::new(Inbound::new(
            self.settings.clone(),
            self.names.clone(),
            limits,
            self.metrics.clone(),
            self.to_engine.clone(),
            admission_state,
        ));
        spawn_local(inbound.clone().run(listener));
        inbound
    }

    /// Spawns the task that serves operators; the task ends with the local set.
    pub fn spawn_control(&self, listener: TcpListener, admission_state: watch::Sender<AdmissionState>) {
        if let Ok(addr) = listener.local_addr() {
            tracing::info!("operators: listening on {addr}");
        }
        let control = ControlListener {
            metrics: self.metrics.clone(),
            admission_state,
            engine: self.to_engine.clone(),
        };
        spawn_local(Rc::new(control).run(listener));
    }
}
