//! Several sender processes that gossip through datagram proxies and call the same receivers.
//!
//! Invariant: the processes are killed when the cluster is dropped, also if a test panics.

use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::process::Command;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::checker::Verdict;
use crate::client::{self, Clients};
use crate::datagram_proxy::DatagramProxy;
use crate::event_log::{EventLog, Rules};
use crate::fake_discovery::FakeDiscovery;
use crate::fake_receiver::FakeReceiver;
use crate::program::{Launch, Program};
use crate::scenario::{Outage, Scenario};
use crate::test_environment::{
    EnvironmentError, OUTCOME_TIMEOUT, classes, configuration, endpoints, list_entries, record_lag,
    sender_name, start_receivers, wait_for_outcomes,
};
use crate::usage::Usage;

/// Interval at which the event log is checked for messages without a final outcome.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Content of a sender's state folder when the sender is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Journal {
    /// The files of its earlier process.
    Kept,
    /// No files, as after the loss of the machine.
    Empty,
}

/// Running senders with their receivers and clients. [`Cluster::usage`] covers the first receiver only.
#[derive(Debug)]
pub struct Cluster {
    /// The proxies for datagrams between the senders.
    pub links: DatagramProxy,
    scenario: Scenario,
    max_lifetime: Duration,
    folder: PathBuf,
    event_log: EventLog,
    programs: Vec<Program>,
    clients: Arc<Clients>,
    /// The task of the clients, once the load has started.
    load: Option<JoinHandle<()>>,
    // The services and tasks below run until the cluster is dropped.
    _discoveries: Vec<FakeDiscovery>,
    receivers: Vec<Arc<FakeReceiver>>,
    _tasks: JoinSet<()>,
}

impl Cluster {
    /// Starts all senders of a scenario, which gossip with each other. The scenario's events are ignored. `folder` must be
    /// empty; `max_lifetime` bounds the lifetime of a message.
    ///
    /// # Errors
    ///
    /// [`EnvironmentError`] if a sender, receiver, discovery service or proxy cannot be started.
    pub async fn start(
        scenario: &Scenario,
        launch: &Launch,
        folder: &Path,
        max_lifetime: Duration,
    ) -> Result<Self, EnvironmentError> {
        let classes = classes(max_lifetime);
        let rules = Rules::default();
        let event_log = EventLog::start(classes.clone(), endpoints(&scenario.receivers), rules.clone());
        let names: Vec<String> = (0..scenario.senders).map(sender_name).collect();
        let receivers = start_receivers(scenario, &names, &rules, &event_log).await?;
        let gossip_addrs = gossip_addresses(scenario.senders)?;
        let links = DatagramProxy::start(&gossip_addrs, scenario.seed).await?;
        let mut discoveries = Vec::new();
        let mut programs = Vec::new();
        let mut addresses = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let entries = list_entries(&receivers, &[], index);
            let discovery = FakeDiscovery::start(name, entries, &event_log).await?;
            let mut config = configuration(&discovery, &classes, &rules, names.len(), index);
            config["peer_listen"] = json!(gossip_addrs[index]);
            config["peers"] = json!(links.peers(index));
            config["settings"]["limits"]["peers"] = json!(true);
            let mut program = Program::new(name, launch, &folder.join(name), config, None, &event_log)?;
            program.start().await?;
            addresses.push((name.clone(), program.address()));
            discoveries.push(discovery);
            programs.push(program);
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(record_lag(event_log.clone()));
        Ok(Self {
            links,
            scenario: scenario.clone(),
            max_lifetime,
            folder: folder.to_owned(),
            clients: Clients::new(addresses, &event_log),
            event_log,
            programs,
            load: None,
            _discoveries: discoveries,
            receivers,
            _tasks: tasks,
        })
    }

    /// The event log, which the fakes and clients are still writing.
    pub fn event_log(&self) -> &EventLog {
        &self.event_log
    }

    /// Starts the clients, which submit messages for the scenario's duration.
    pub fn start_load(&mut self) {
        let planned = client::plan(&self.scenario, self.max_lifetime);
        self.load = Some(tokio::spawn(self.clients.clone().run(planned, Instant::now())));
    }

    /// Waits until all clients are done and every message has its final outcome or has exceeded its time for one; returns
    /// the checker's verdict.
    pub async fn finish(&mut self) -> Verdict {
        if let Some(load) = self.load.take() {
            // The event log shows whether a client has panicked.
            let _ = load.await;
        }
        let deadline = Instant::now() + self.max_lifetime + OUTCOME_TIMEOUT;
        let checker = wait_for_outcomes(&self.event_log, deadline, OUTCOME_CHECK_INTERVAL).await;
        checker.finish(self.event_log.now())
    }

    /// Kills a sender's process (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// If the process cannot be waited for.
    pub async fn kill(&mut self, sender: usize) -> Result<(), EnvironmentError> {
        Ok(self.programs[sender].kill().await?)
    }

    /// Starts a sender that was killed, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// If the sender does not start, or its state folder cannot be emptied.
    pub async fn restart(&mut self, sender: usize, journal: Journal) -> Result<(), EnvironmentError> {
        if journal == Journal::Empty {
            let state = self.folder.join(sender_name(sender)).join("state");
            std::fs::remove_dir_all(&state)?;
            std::fs::create_dir(state)?;
        }
        Ok(self.programs[sender].start().await?)
    }

    /// Pauses a sender's process (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// If the process cannot be signalled.
    pub async fn pause(&self, sender: usize) -> Result<(), EnvironmentError> {
        self.signal(sender, "-STOP").await
    }

    /// Resumes a sender's process that was paused (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// If the process cannot be signalled.
    pub async fn resume(&self, sender: usize) -> Result<(), EnvironmentError> {
        self.signal(sender, "-CONT").await
    }

    async fn signal(&self, sender: usize, signal: &str) -> Result<(), EnvironmentError> {
        let Some(pid) = self.programs[sender].pid() else { return Ok(()) };
        let status = Command::new("kill").args([signal, &pid.to_string()]).status().await?;
        if status.success() {
            Ok(())
        } else {
            Err(std::io::Error::other(format!("`kill {signal} {pid}` failed: {status}")).into())
        }
    }

    /// Puts endpoints of the first receiver into an outage, and returns when it is over.
    pub async fn fail(&self, endpoints: &[String], outage: Outage, duration: Duration) {
        if let Some(receiver) = self.receivers.first() {
            receiver.fail(endpoints, outage, duration).await;
        }
    }

    /// How the first receiver's limit was used in a span of the event log, in microseconds.
    pub fn usage(&self, span: Range<u64>) -> Usage {
        let limit = self.scenario.receivers.first().map_or(f64::INFINITY, |receiver| receiver.per_s.get());
        Usage::of(&self.event_log.lines(), span, limit)
    }

    /// Measures how the first receiver's limit is used during `duration` from now on.
    pub async fn measure_usage(&self, duration: Duration) -> Usage {
        let from = self.event_log.now();
        sleep(duration).await;
        self.usage(from..self.event_log.now())
    }
}

/// Free addresses for the senders' datagrams, each on a loopback IP address that nothing else in the test uses.
fn gossip_addresses(senders: usize) -> std::io::Result<Vec<SocketAddr>> {
    let free_address = |index: usize| UdpSocket::bind((format!("127.0.1.{}", index + 1), 0))?.local_addr();
    (0..senders).map(free_address).collect()
}
