//! One sender, put together: journal, engine, ways in and out, membership and notices.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_journal::Store;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::config::{StartError, Usable};
use crate::discovery;
use crate::door::Door;
use crate::engine::{Engine, Parts};
use crate::event::{Input, List};
use crate::figures::Figures;
use crate::inbound::{self, Inbound};
use crate::operator::Operator;
use crate::outbound::Outbound;
use crate::reports::Reports;

/// Inputs that may wait for the engine.
const QUEUE: usize = 4096;
/// What was answered last still has to reach the sockets when the engine is done.
const LAST_WRITES: Duration = Duration::from_millis(20);

/// A sender that listens, and runs once [`Service::run`] is polled.
pub struct Service {
    engine: Engine,
    control: Control,
    addr: SocketAddr,
}

/// Tells a running [`Service`] what its operator wants. Clones tell the same one.
#[derive(Clone, Debug)]
pub struct Control {
    to_engine: mpsc::Sender<Input>,
    door: watch::Sender<Door>,
    discovery: watch::Sender<SocketAddr>,
}

impl Service {
    /// Takes up what the journal in the folder `state` holds, and listens. Its tasks run on the current
    /// [`tokio::task::LocalSet`], and end with it; to drop that is what a kill is to the program.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the journal or the address cannot be had.
    pub async fn start(usable: Usable, state: &Path) -> Result<Self, StartError> {
        let Usable { config, settings, names } = usable;
        let share = config.limits.share();
        let budget = (config.limits.disk_mb.max(0.0) * 1_000_000.0) as u64;
        let store = Store::open(state, budget)
            .map_err(|error| StartError::Journal { path: state.to_owned(), error })?;
        let (to_engine, inputs) = mpsc::channel(QUEUE);
        let (door, at_the_door) = watch::channel(Door::Open);
        let figures = Rc::new(Figures::new(&names.classes));
        let outbound = Rc::new(Outbound::new(&settings, share, figures.clone(), to_engine.clone()));
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
            figures: figures.clone(),
            inputs,
        };
        // What the journal holds is taken up before the first client is heard.
        // The list that the agent has is what this sender has been told, whatever its revision: those of
        // `known` may be another address's.
        let fetched = discovery::fetch(config.discovery).await;
        let revision = fetched.as_ref().map(|list| list.revision);
        let engine = Engine::new(parts, &known, fetched.as_ref())?;
        let addr = config.listen;
        let cannot_listen = |error| StartError::Listen { addr, error };
        let listener = TcpListener::bind(addr).await.map_err(cannot_listen)?;
        let addr = listener.local_addr().map_err(cannot_listen)?;
        let (discovery, address) = watch::channel(config.discovery);
        spawn_local(discovery::watch(address.clone(), revision, to_engine.clone()));
        spawn_local({
            let to_engine = to_engine.clone();
            async move { reports.run(address, to_engine).await }
        });
        spawn_local(async move { outbound.sweep().await });
        let limits = inbound::Limits { sockets: share, body_bytes: config.limits.body_bytes() };
        let inbound =
            Rc::new(Inbound::new(settings, names, limits, figures.clone(), to_engine.clone(), at_the_door));
        spawn_local(inbound.run(listener));
        if let Some(addr) = config.control {
            let cannot_listen = |error| StartError::Listen { addr, error };
            let listener = TcpListener::bind(addr).await.map_err(cannot_listen)?;
            tracing::info!("operators: listening on {}", listener.local_addr().map_err(cannot_listen)?);
            let operator = Operator { figures, door: door.clone(), host: to_engine.clone() };
            spawn_local(Rc::new(operator).run(listener));
        }
        Ok(Self { engine, control: Control { to_engine, door, discovery }, addr })
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
        tokio::time::sleep(LAST_WRITES).await;
    }
}

impl Control {
    /// Stops the service: it goes on answering for a while, lets calls finish, and leaves the rest to the
    /// journal. [`Service::run`] then ends within 3.5 s.
    pub async fn stop(&self) {
        self.door.send_replace(Door::Stopping);
        let _ = self.to_engine.send(Input::Stop).await;
    }

    /// Puts what of a new configuration takes effect at once in force: the address of discovery.
    pub fn configure(&self, usable: &Usable) {
        let to = usable.discovery();
        self.discovery.send_if_modified(|addr| std::mem::replace(addr, to) != to);
    }
}
