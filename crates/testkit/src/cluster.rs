//! Several senders, each a process of the program, joined by a mesh, before one partner with a count in each second.
//!
//! Invariant: whatever happens to a test, its processes end with the tier, each by its own id.

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::process::Command;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::checker::{Checker, Verdict};
use crate::client::{self, Clients};
use crate::datagram_proxy::DatagramProxy;
use crate::event_log::{EventLog, Rules};
use crate::fake_discovery::FakeDiscovery;
use crate::fake_receiver::FakeReceiver;
use crate::program::{Launch, Program};
use crate::scenario::{Outage, Scenario};
use crate::usage::Usage;
use crate::world::{EnvironmentError, classes, configuration, endpoints, entries, keep_time, name};

/// So long after the last message's time is up nothing is waited for any more.
const AFTER: Duration = Duration::from_millis(2_500);
/// How often it is looked whether messages have their ends.
const LOOK: Duration = Duration::from_millis(100);

/// What a sender's folder holds when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Journal {
    /// What it left.
    Kept,
    /// Nothing: the machine was lost.
    Empty,
}

/// Senders that run, their partner, and clients when told. Only a script's first partner counts in [`Cluster::usage`].
#[derive(Debug)]
pub struct Cluster {
    /// The links between them.
    pub mesh: DatagramProxy,
    script: Scenario,
    longest: Duration,
    folder: PathBuf,
    evidence: EventLog,
    programs: Vec<Program>,
    clients: Arc<Clients>,
    load: Option<JoinHandle<()>>,
    // They stand as long as it does.
    _agents: Vec<FakeDiscovery>,
    partners: Vec<Arc<FakeReceiver>>,
    _tasks: JoinSet<()>,
}

impl Cluster {
    /// Starts all of a script's senders, with notes between them. What happens is the caller's to say: the script's
    /// own happenings are not played. `folder` is empty; a message may be delivered for `longest` at most.
    ///
    /// # Errors
    ///
    /// [`EnvironmentError`] if a part of it cannot be had.
    pub async fn start(
        script: &Scenario,
        launch: &Launch,
        folder: &Path,
        longest: Duration,
    ) -> Result<Self, EnvironmentError> {
        let (classes, rules) = (classes(longest), Rules::default());
        let evidence = EventLog::start(classes.clone(), endpoints(&script.partners), rules.clone());
        let names: Vec<String> = (0..script.senders).map(name).collect();
        let mut partners = Vec::new();
        for plan in &script.partners {
            partners.push(Arc::new(FakeReceiver::start(plan, &names, &rules, script.seed, &evidence).await?));
        }
        let doors = doors(script.senders)?;
        let mesh = DatagramProxy::start(&doors, script.seed).await?;
        let (mut agents, mut programs, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for (me, name) in names.iter().enumerate() {
            let agent = FakeDiscovery::start(name, entries(&partners, &[], me, name), &evidence).await?;
            let mut config = configuration(&agent, &classes, &rules, names.len(), me);
            config["peer_listen"] = json!(doors[me]);
            config["peers"] = json!(mesh.peers(me));
            config["settings"]["limits"]["peers"] = json!(true);
            let mut program = Program::new(name, launch, &folder.join(name), config, None, &evidence)?;
            program.start().await?;
            addresses.push((name.clone(), program.address()));
            agents.push(agent);
            programs.push(program);
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(keep_time(evidence.clone()));
        let clients = Clients::new(addresses, &evidence);
        let (script, folder, load) = (script.clone(), folder.to_owned(), None);
        Ok(Self {
            mesh,
            script,
            longest,
            folder,
            evidence,
            programs,
            clients,
            load,
            _agents: agents,
            partners,
            _tasks: tasks,
        })
    }

    /// The log while it is written.
    pub fn evidence(&self) -> &EventLog {
        &self.evidence
    }

    /// Clients come from now on, for the script's time.
    pub fn load(&mut self) {
        let planned = client::plan(&self.script, self.longest);
        self.load = Some(tokio::spawn(self.clients.clone().run(planned, Instant::now())));
    }

    /// Waits until all clients have gone and every message has its end, or should have; what the judge says of it.
    pub async fn ended(&mut self) -> Verdict {
        if let Some(load) = self.load.take() {
            // It ends by itself, and has nothing to say.
            let _ = load.await;
        }
        let end = Instant::now() + self.longest + AFTER;
        // Line by line as they come: to judge all of them again and again would make the stand-ins late.
        let (mut checker, mut seen) = (Checker::default(), 0);
        loop {
            for line in self.evidence.lines_from(seen) {
                seen += 1;
                checker.process(seen, &line);
            }
            if checker.pending() == 0 || Instant::now() > end {
                return checker.finish(self.evidence.now());
            }
            sleep(LOOK).await;
        }
    }

    /// Kills a sender's process outright (`kill -9`).
    ///
    /// # Errors
    ///
    /// If it cannot be waited for.
    pub async fn kill(&mut self, sender: usize) -> Result<(), EnvironmentError> {
        Ok(self.programs[sender].kill().await?)
    }

    /// Starts one that was killed, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// If it does not start, or its folder cannot be emptied.
    pub async fn start_again(&mut self, sender: usize, journal: Journal) -> Result<(), EnvironmentError> {
        if journal == Journal::Empty {
            let state = self.folder.join(name(sender)).join("state");
            std::fs::remove_dir_all(&state)?;
            std::fs::create_dir(state)?;
        }
        Ok(self.programs[sender].start().await?)
    }

    /// Stops a sender's process where it is (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// If it cannot be told.
    pub async fn pause(&self, sender: usize) -> Result<(), EnvironmentError> {
        self.signal(sender, "-STOP").await
    }

    /// Lets one that was stopped go on (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// If it cannot be told.
    pub async fn go_on(&self, sender: usize) -> Result<(), EnvironmentError> {
        self.signal(sender, "-CONT").await
    }

    async fn signal(&self, sender: usize, signal: &str) -> Result<(), EnvironmentError> {
        let Some(pid) = self.programs[sender].pid() else { return Ok(()) };
        let told = Command::new("kill").args([signal, &pid.to_string()]).status().await?;
        if told.success() {
            Ok(())
        } else {
            Err(std::io::Error::other(format!("kill {signal} {pid}")).into())
        }
    }

    /// Strikes endpoints of the first partner, and gives them back after a time.
    pub async fn strike(&self, endpoints: &[String], outage: Outage, for_time: Duration) {
        if let Some(partner) = self.partners.first() {
            partner.strike(endpoints, outage, for_time).await;
        }
    }

    /// How the first partner's limit was used in a span of the log, microseconds.
    pub fn usage(&self, span: Range<u64>) -> Usage {
        let limit = self.script.partners.first().map_or(f64::INFINITY, |partner| partner.per_s.get());
        Usage::of(&self.evidence.lines(), span, limit)
    }

    /// The same from now on, for so long.
    pub async fn phase(&self, lasts: Duration) -> Usage {
        let from = self.evidence.now();
        sleep(lasts).await;
        self.usage(from..self.evidence.now())
    }
}

/// Where each sender has its notes: free now, on an address of its own, where nobody takes a port by chance.
fn doors(senders: usize) -> std::io::Result<Vec<SocketAddr>> {
    let door = |n: usize| StdSocket::bind((format!("127.0.1.{}", n + 1), 0))?.local_addr();
    (0..senders).map(door).collect()
}
