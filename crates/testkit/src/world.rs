//! A whole world round real sender processes: plays a script and gives back its evidence.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Mutex;
use tokio::time::{sleep, sleep_until};

use crate::checker::{Checker, MAX_LAG_US};
use crate::client::{self, Clients, KEYED, SAFE, TENANTS};
use crate::event_log::{Class, Effect, Endpoint, Event, EventLog, KeyGroup, Line, Rules};
use crate::fake_discovery::{Entry, FakeDiscovery};
use crate::fake_receiver::{FakeReceiver, KEY_TIME};
use crate::fault_proxy::{Fault, FaultProxy};
use crate::program::{Launch, Program, ProgramError};
use crate::scenario::{Happening, LinkFault, Phase, ReceiverPlan, Scenario};

/// How often it is looked whether this process keeps up.
const BEAT: Duration = Duration::from_millis(10);
/// After the last message's time is up, so much longer is waited for its end.
const AFTER: Duration = Duration::from_millis(2_500);

/// How a script is played.
#[derive(Clone, Debug)]
pub struct TestEnvironment {
    /// How a sender is started.
    pub launch: Launch,
    /// An empty folder for configurations, journals and logs.
    pub folder: PathBuf,
    /// A message may be delivered for so long at most: it bounds how long an evening goes on.
    pub longest: Duration,
}

/// The classes, as the judge knows them.
pub fn classes(longest: Duration) -> Vec<Class> {
    let class = |(name, left): (&str, Duration), effect, group, window: Duration, target_ms| Class {
        name: name.to_owned(),
        effect,
        group,
        window_ms: window.as_millis() as u64,
        target_ms,
        deadline_ms: left.min(longest).as_millis() as u64,
        ordered: false,
    };
    vec![
        class(KEYED, Effect::IdempotencyKey, KeyGroup::Zone, KEY_TIME, 4_000),
        class(SAFE, Effect::Idempotent, KeyGroup::All, Duration::ZERO, 2_000),
    ]
}

/// The endpoints of partners, as the judge knows them.
pub fn endpoints(partners: &[ReceiverPlan]) -> Vec<Endpoint> {
    let of = |plan: &ReceiverPlan| {
        let (partner, apart, per_s) = (plan.number, plan.apart, plan.per_s.get());
        let endpoints = plan.endpoints.iter();
        let endpoints = endpoints.map(move |e| Endpoint {
            id: e.id.clone(),
            receiver: partner,
            zone: e.hall.clone(),
            independent: apart,
            per_s,
        });
        endpoints.collect::<Vec<_>>()
    };
    partners.iter().flat_map(of).collect()
}

/// A sender's configuration in a world with these classes and rules; discovery and known list are its agent's.
pub fn configuration(
    agent: &FakeDiscovery,
    classes: &[Class],
    rules: &Rules,
    senders: usize,
    me: usize,
) -> Value {
    let lane = |c: &Class| {
        let (effect, group) = match c.effect {
            Effect::Idempotent => ("free", "all"),
            Effect::IdempotencyKey => ("guarded", if c.group == KeyGroup::All { "all" } else { "zone" }),
            Effect::AtMostOnce => ("single_shot", "all"),
        };
        json!({"name": c.name, "effect": effect, "group": group, "window": c.window_ms, "target": c.target_ms,
               "credit": if c.effect == Effect::Idempotent { 3.0 } else { 1.0 }, "deadline": c.deadline_ms,
               "late_worth": 0.3})
    };
    let projects: Vec<Value> = TENANTS
        .iter()
        .map(|(name, _)| json!({"name": name, "fraction": 0.2, "quota_per_s": 1000.0}))
        .collect();
    json!({"discovery": agent.addr().to_string(), "seed": format!("{:016x}", 0x9e37_79b9 + me as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 16},
        "known": agent.list(),
        "settings": {
            "az": me % 2, "azs": ["hall-a", "hall-b"], "kinds": ["big-platform", "any-size"],
            "peers_total": senders, "me": me, "tick": 5.0, "weights": "nominal",
            "lanes": classes.iter().map(lane).collect::<Vec<_>>(), "projects": projects,
            "extra": {"bundle_max": [1, 1], "kind_apart": [true, false], "calls_out": 64,
                      "loses_worth": "linear"},
            "limits": {"connect_timeout": 1500.0, "idle_close": 15000.0, "max_attempts": 12, "most_held": 800,
                       "max_retry_after": 3000.0, "retry_after": true, "probing": true, "cancelling": true},
            "rules": {"cold_from": rules.initial_capacity, "fall_multiple": rules.overload_multiple,
                      "tip_after": rules.overload_window_ms, "warm_within": rules.warm_up_ms}}})
}

/// What cannot be staged.
#[derive(Debug, thiserror::Error)]
pub enum EnvironmentError {
    /// Sockets or files of the stand-ins.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A sender.
    #[error("{0}")]
    Program(#[from] ProgramError),
}

/// What came of a play beside the log.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// The log.
    pub lines: Vec<Line>,
    /// Senders that did not start again or did not stop well, and why.
    pub failed: Vec<String>,
    /// Processor time of all senders, microseconds, of the processes that were there at the end.
    pub cpu_us: u64,
    /// The most memory that a sender held, KiB.
    pub peak_kib: u64,
}

/// A world that has been set up.
#[derive(Debug)]
pub struct World {
    script: Scenario,
    stage: TestEnvironment,
    evidence: EventLog,
    partners: Vec<Arc<FakeReceiver>>,
    agents: Vec<Arc<FakeDiscovery>>,
    programs: Vec<Arc<Mutex<Program>>>,
    clients: Arc<Clients>,
    links: Vec<Arc<LinkBetween>>,
}

/// A link between a sender and an endpoint of a partner.
#[derive(Debug)]
pub(crate) struct LinkBetween {
    sender: usize,
    partner: u16,
    endpoint: String,
    link: FaultProxy,
}

impl World {
    /// Starts partners, agents and senders.
    ///
    /// # Errors
    ///
    /// [`EnvironmentError`] if a part of it cannot be had.
    pub async fn set_up(script: &Scenario, stage: &TestEnvironment) -> Result<Self, EnvironmentError> {
        let (classes, rules) = (classes(stage.longest), Rules::default());
        let evidence = EventLog::start(classes.clone(), endpoints(&script.partners), rules.clone());
        let names: Vec<String> = (0..script.senders).map(name).collect();
        let mut partners = Vec::new();
        for plan in &script.partners {
            partners.push(Arc::new(FakeReceiver::start(plan, &names, &rules, script.seed, &evidence).await?));
        }
        let (mut agents, mut programs, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        let links = links(script, &partners, &names).await?;
        for (me, name) in names.iter().enumerate() {
            let agent =
                Arc::new(FakeDiscovery::start(name, entries(&partners, &links, me, name), &evidence).await?);
            let config = configuration(&agent, &classes, &rules, names.len(), me);
            let folder = stage.folder.join(name);
            let mut program = Program::new(name, &stage.launch, &folder, config, None, &evidence)?;
            let upgrade = |h: &Happening| matches!(h, Happening::Upgrade { sender, .. } if *sender == me);
            if script.happenings.iter().any(upgrade) {
                program.keep_door()?;
            }
            program.start().await?;
            addresses.push((name.clone(), program.address()));
            agents.push(agent);
            programs.push(Arc::new(Mutex::new(program)));
        }
        let clients = Clients::new(addresses, &evidence);
        let (script, stage) = (script.clone(), stage.clone());
        Ok(Self { script, stage, evidence, partners, agents, programs, clients, links })
    }

    /// The log while it is written.
    pub fn evidence(&self) -> EventLog {
        self.evidence.clone()
    }

    /// Plays the script to its end: until every message that was taken on has its own, or should have.
    pub async fn play(self) -> Played {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(keep_time(self.evidence.clone()));
        tasks.spawn(self.clients.clone().misbehave(self.script.traffic.bad_per_s, self.script.seed ^ 0xbad));
        let failed = Arc::new(std::sync::Mutex::new(Vec::new()));
        for happening in &self.script.happenings {
            self.schedule(happening, start, &mut tasks, &failed);
        }
        let planned = client::plan(&self.script, self.stage.longest);
        self.clients.clone().run(planned, start).await;
        let end = Instant::now() + self.stage.longest + AFTER;
        // Line by line as they come: to judge all of them again and again would make the stand-ins late.
        let (mut checker, mut seen) = (Checker::default(), 0);
        while Instant::now() < end {
            for line in self.evidence.lines_from(seen) {
                seen += 1;
                checker.process(seen, &line);
            }
            if checker.pending() == 0 {
                break;
            }
            sleep(Duration::from_millis(250)).await;
        }
        let (mut cpu_us, mut peak_kib) = (0, 0);
        for program in &self.programs {
            let mut program = program.lock().await;
            cpu_us += program.cpu_us().unwrap_or(0);
            peak_kib = peak_kib.max(program.peak_kib().unwrap_or(0));
            match program.stop().await {
                Ok(true) => {}
                Ok(false) => note(&failed, "a sender did not end well on SIGTERM".to_owned()),
                Err(error) => note(&failed, error.to_string()),
            }
        }
        let failed = std::mem::take(&mut *failed.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
        Played { lines: self.evidence.lines(), failed, cpu_us, peak_kib }
    }

    fn schedule(
        &self,
        happening: &Happening,
        start: Instant,
        tasks: &mut tokio::task::JoinSet<()>,
        failed: &Arc<std::sync::Mutex<Vec<String>>>,
    ) {
        let at = move |ms: u64| tokio::time::Instant::from(start + Duration::from_millis(ms));
        match happening.clone() {
            Happening::Outage { at_ms, for_ms, partner, endpoints, outage } => {
                let Some(partner) = self.partners.iter().find(|p| p.plan().number == partner) else { return };
                let partner = partner.clone();
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    partner.strike(&endpoints, outage, Duration::from_millis(for_ms.get())).await;
                });
            }
            Happening::List { at_ms, endpoint, phase } => {
                let late = self.list_late(at_ms.get());
                for (n, agent) in self.agents.iter().enumerate() {
                    let (agent, endpoint) = (agent.clone(), endpoint.clone());
                    // Not all are told at once.
                    let when = at(at_ms.get() + late + 40 * n as u64);
                    tasks.spawn(async move {
                        sleep_until(when).await;
                        agent.change(&endpoint, phase);
                    });
                }
            }
            // Heeded where changes are told.
            Happening::Stale { .. } => {}
            Happening::Agent { at_ms, for_ms, sender, trouble } => {
                let (agent, evidence) = (self.agents[sender].clone(), self.evidence.clone());
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    agent.suffer(trouble, true, &evidence);
                    sleep(Duration::from_millis(for_ms.get())).await;
                    agent.suffer(trouble, false, &evidence);
                });
            }
            Happening::Move { at_ms, sender } => {
                let (agent, program) = (self.agents[sender].clone(), self.programs[sender].clone());
                let failed = failed.clone();
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    let moved = async {
                        // Not between the start of a process and its being ready: it may not have read the file.
                        let mut program = program.lock().await;
                        let discovery = agent.relocate().await?.to_string().into();
                        program.reconfigure(&[("discovery", discovery)]).await
                    };
                    if let Err(error) = moved.await {
                        note(&failed, error.to_string());
                    }
                });
            }
            Happening::Link { at_ms, for_ms, sender, partner, trouble } => {
                let ours = |l: &&Arc<LinkBetween>| l.sender == sender && l.partner == partner;
                for link in self.links.iter().filter(ours) {
                    let (link, evidence) = (link.clone(), self.evidence.clone());
                    tasks.spawn(async move {
                        sleep_until(at(at_ms.get())).await;
                        link.suffer(trouble, true, &evidence);
                        sleep(Duration::from_millis(for_ms.get())).await;
                        link.suffer(trouble, false, &evidence);
                    });
                }
            }
            Happening::Kill { at_ms, sender, back_ms } => {
                let (program, failed) = (self.programs[sender].clone(), failed.clone());
                let agent = self.agents[sender].clone();
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    let mut program = program.lock().await;
                    let killed = program.kill().await;
                    sleep(Duration::from_millis(back_ms.get())).await;
                    let killed = killed.and(program.reconfigure(&[("known", agent.list())]).await);
                    if let Err(error) = killed.and(program.start().await) {
                        note(&failed, error.to_string());
                    }
                });
            }
            Happening::Upgrade { at_ms, sender } => {
                let (program, failed) = (self.programs[sender].clone(), failed.clone());
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    match program.lock().await.upgrade().await {
                        Ok(true) => {}
                        Ok(false) => note(&failed, "a sender did not leave well to its successor".to_owned()),
                        Err(error) => note(&failed, error.to_string()),
                    }
                });
            }
            Happening::Restart { at_ms, sender, back_ms } => {
                let (program, failed) = (self.programs[sender].clone(), failed.clone());
                let agent = self.agents[sender].clone();
                tasks.spawn(async move {
                    sleep_until(at(at_ms.get())).await;
                    let mut program = program.lock().await;
                    let stopped = program.stop().await;
                    sleep(Duration::from_millis(back_ms.get())).await;
                    let known = program.reconfigure(&[("known", agent.list())]).await;
                    match (stopped, known.and(program.start().await)) {
                        (Ok(true), Ok(())) => {}
                        (Ok(false), _) => note(&failed, "a sender did not end well on SIGTERM".to_owned()),
                        (Err(error), _) | (_, Err(error)) => note(&failed, error.to_string()),
                    }
                });
            }
        }
    }

    /// How late word of a change that happens at `at` reaches senders, milliseconds.
    fn list_late(&self, at: u64) -> u64 {
        let stale = self.script.happenings.iter().filter_map(|h| match h {
            Happening::Stale { at_ms, for_ms, late_ms } => {
                let during = (at_ms.get()..at_ms.get() + for_ms.get()).contains(&at);
                during.then(|| late_ms.get())
            }
            _ => None,
        });
        self.script.list_late_ms.get() + stale.max().unwrap_or(0)
    }
}

fn note(failed: &std::sync::Mutex<Vec<String>>, what: String) {
    failed.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(what);
}

impl LinkBetween {
    fn suffer(&self, trouble: LinkFault, on: bool, evidence: &EventLog) {
        let (kind, hides) = match trouble {
            // A little late is within what the judge allows on every limit.
            LinkFault::Delay { ms } => ("delay", ms.get() > 20),
            LinkFault::LoseBack => ("lose_back", true),
            LinkFault::BlackHole => ("black_hole", true),
            LinkFault::CutAfter { .. } => ("cut_after", false),
            LinkFault::HalfCloseAfter { .. } => ("half_close_after", false),
            // Answers come, but long after they were written.
            LinkFault::Trickle { .. } => ("trickle", true),
            LinkFault::Reset => ("reset", false),
        };
        let (sender, endpoint, kind) = (name(self.sender), self.endpoint.clone(), kind.to_owned());
        evidence.record(Event::LinkFault { sender, endpoint, kind, hides_responses: hides, on });
        self.link.set(if on { trouble.into() } else { Fault::default() });
        if on && trouble == LinkFault::Reset {
            self.link.reset();
        }
    }
}

/// A sender's, by its number.
pub(crate) fn name(sender: usize) -> String {
    format!("n{sender}")
}

/// Links where the script has something befall them.
async fn links(
    script: &Scenario,
    partners: &[Arc<FakeReceiver>],
    names: &[String],
) -> std::io::Result<Vec<Arc<LinkBetween>>> {
    let mut links: Vec<Arc<LinkBetween>> = Vec::new();
    for happening in &script.happenings {
        let &Happening::Link { sender, partner: number, .. } = happening else { continue };
        let Some(partner) = partners.iter().find(|p| p.plan().number == number) else { continue };
        for endpoint in &partner.plan().endpoints {
            let there = links.iter().any(|l| l.sender == sender && l.endpoint == endpoint.id);
            let Some(addr) = partner.addr(&names[sender], &endpoint.id).filter(|_| !there) else { continue };
            let (link, endpoint) = (FaultProxy::start(addr).await?, endpoint.id.clone());
            links.push(Arc::new(LinkBetween { sender, partner: number, endpoint, link }));
        }
    }
    Ok(links)
}

/// What a sender's list holds when nothing has happened yet.
pub(crate) fn entries(
    partners: &[Arc<FakeReceiver>],
    links: &[Arc<LinkBetween>],
    me: usize,
    sender: &str,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    for partner in partners {
        let plan = partner.plan();
        for endpoint in &plan.endpoints {
            let Some(direct) = partner.addr(sender, &endpoint.id) else { continue };
            let link = links.iter().find(|l| l.sender == me && l.endpoint == endpoint.id);
            let addr = link.map_or(direct, |l| l.link.addr());
            entries.push(Entry {
                id: endpoint.id.clone(),
                addr,
                hall: endpoint.hall.clone(),
                kind: if plan.apart { "big-platform" } else { "any-size" }.to_owned(),
                partner: plan.number,
                phase: Phase::Serving,
                per_s: plan.per_s.get(),
            });
        }
    }
    entries
}

/// Notes when this process falls behind, until it is dropped: what it then does late is not the sender's fault.
pub async fn keep_time(evidence: EventLog) {
    let mut next = Instant::now();
    loop {
        next += BEAT;
        sleep_until(next.into()).await;
        let late = next.elapsed();
        if late.as_micros() as u64 > MAX_LAG_US / 2 {
            evidence.record(Event::Lagged { who: "stand-ins".to_owned(), lag_us: late.as_micros() as u64 });
            next = Instant::now();
        }
    }
}

/// The sender's program beside the one that runs, as cargo leaves both.
pub fn beside_this_program() -> Option<PathBuf> {
    let folder = std::env::current_exe().ok()?;
    let path = folder.parent()?.join("rudderspindle");
    Path::new(&path).exists().then_some(path)
}
