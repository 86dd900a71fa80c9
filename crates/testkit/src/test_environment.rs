//! The test environment of real sender processes: starts fake receivers, discovery services, fault proxies, senders and
//! clients, plays a scenario and returns the event log.

mod configuration;
mod failures;
mod links;
mod monitor;
mod player;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::task::JoinSet;

pub(crate) use configuration::sender_name;
pub use configuration::{classes, configuration, endpoints};
use failures::Failures;
pub use failures::RunFailure;
pub(crate) use links::list_entries;
use links::{ProxiedLink, start_proxies};
pub use monitor::record_lag;
pub(crate) use monitor::wait_for_outcomes;
use player::Player;

use crate::client::{self, Clients};
use crate::event_log::{EventLog, Line, Rules};
use crate::fake_discovery::FakeDiscovery;
use crate::fake_receiver::FakeReceiver;
use crate::program::{Launch, Program, ProgramError};
use crate::scenario::{Scenario, ScheduledEvent};

/// How long a test waits for outcomes after the lifetime of the last message has passed.
pub(crate) const OUTCOME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval of the checks whether all messages have their outcomes.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Value that is combined with the scenario's seed by XOR, so that the malformed requests have a seed of their own.
const MALFORMED_SEED: u64 = 0xbad;

/// Configuration of a test environment.
#[derive(Clone, Debug)]
pub struct EnvironmentConfig {
    /// How a sender is started.
    pub launch: Launch,
    /// An empty folder for the senders' configurations, journals and logs.
    pub folder: PathBuf,
    /// Upper bound of the messages' lifetimes (time from submission to deadline), which limits the duration of a test.
    pub max_lifetime: Duration,
}

/// Error of starting a test environment.
#[derive(Debug, thiserror::Error)]
pub enum EnvironmentError {
    /// A socket or file of a fake cannot be created.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A sender cannot be started.
    #[error("{0}")]
    Program(#[from] ProgramError),
}

/// Result of playing a scenario.
#[derive(Debug, Default)]
pub struct RunResult {
    /// The event log.
    pub lines: Vec<Line>,
    /// Failures of senders to start, to stop or to be taken over.
    pub failures: Vec<RunFailure>,
    /// Total processor time of the sender processes that were running at the end of the test, in microseconds; earlier
    /// processes of restarted senders do not count.
    pub cpu_us: u64,
    /// The highest peak memory use among these processes, in KiB.
    pub peak_kib: u64,
}

/// A running test environment.
#[derive(Debug)]
pub struct TestEnvironment {
    scenario: Scenario,
    config: EnvironmentConfig,
    event_log: EventLog,
    receivers: Vec<Arc<FakeReceiver>>,
    discoveries: Vec<Arc<FakeDiscovery>>,
    programs: Vec<Arc<Mutex<Program>>>,
    clients: Arc<Clients>,
    links: Vec<Arc<ProxiedLink>>,
}

/// Starts the receivers of a scenario.
///
/// # Errors
///
/// An error of the sockets.
pub(crate) async fn start_receivers(
    scenario: &Scenario,
    sender_names: &[String],
    rules: &Rules,
    event_log: &EventLog,
) -> std::io::Result<Vec<Arc<FakeReceiver>>> {
    let mut receivers = Vec::new();
    for plan in &scenario.receivers {
        let receiver = FakeReceiver::start(plan, sender_names, rules, scenario.seed, event_log).await?;
        receivers.push(Arc::new(receiver));
    }
    Ok(receivers)
}

impl TestEnvironment {
    /// Starts the receivers, fault proxies, discovery services and senders of a scenario.
    ///
    /// # Errors
    ///
    /// [`EnvironmentError`] if one of them cannot be started.
    pub async fn start(scenario: &Scenario, config: &EnvironmentConfig) -> Result<Self, EnvironmentError> {
        let classes = classes(config.max_lifetime);
        let rules = Rules::default();
        let event_log = EventLog::start(classes.clone(), endpoints(&scenario.receivers), rules.clone());
        let sender_names: Vec<String> = (0..scenario.senders).map(sender_name).collect();
        let receivers = start_receivers(scenario, &sender_names, &rules, &event_log).await?;
        let links = start_proxies(scenario, &receivers, &sender_names).await?;
        let mut discoveries = Vec::new();
        let mut programs = Vec::new();
        let mut addresses = Vec::new();
        for (index, name) in sender_names.iter().enumerate() {
            let entries = list_entries(&receivers, &links, index);
            let discovery = FakeDiscovery::start(name, entries, &event_log).await?;
            let program_config = configuration(&discovery, &classes, &rules, scenario.senders, index);
            let folder = config.folder.join(name);
            let mut program = Program::new(name, &config.launch, &folder, program_config, None, &event_log)?;
            if is_upgraded(scenario, index) {
                program.keep_listener()?;
            }
            program.start().await?;
            addresses.push((name.clone(), program.address()));
            discoveries.push(Arc::new(discovery));
            programs.push(Arc::new(Mutex::new(program)));
        }
        let clients = Clients::new(addresses, &event_log);
        let (scenario, config) = (scenario.clone(), config.clone());
        Ok(Self { scenario, config, event_log, receivers, discoveries, programs, clients, links })
    }

    /// A handle to the event log, to which events are appended until [`TestEnvironment::run`] returns.
    pub fn event_log(&self) -> EventLog {
        self.event_log.clone()
    }

    /// Plays the scenario, then waits until every accepted message has its final outcome or the time for outcomes has passed,
    /// and stops the senders.
    pub async fn run(self) -> RunResult {
        let start = Instant::now();
        let failures = Failures::default();
        // The tasks are cancelled when this function returns.
        let mut tasks = JoinSet::new();
        self.start_tasks(start, &failures, &mut tasks);
        let planned_messages = client::plan(&self.scenario, self.config.max_lifetime);
        self.clients.clone().run(planned_messages, start).await;
        let deadline = Instant::now() + self.config.max_lifetime + OUTCOME_TIMEOUT;
        wait_for_outcomes(&self.event_log, deadline, OUTCOME_CHECK_INTERVAL).await;
        let mut result = RunResult::default();
        self.stop_programs(&failures, &mut result).await;
        result.failures = failures.take();
        result.lines = self.event_log.lines();
        result
    }

    /// Starts the tasks that run beside the clients: the lag monitor, malformed requests and the scenario's events.
    fn start_tasks(&self, start: Instant, failures: &Failures, tasks: &mut JoinSet<()>) {
        let malformed_per_s = self.scenario.traffic.malformed_per_s;
        tasks.spawn(record_lag(self.event_log.clone()));
        tasks
            .spawn(self.clients.clone().send_malformed(malformed_per_s, self.scenario.seed ^ MALFORMED_SEED));
        let mut player = Player {
            scenario: &self.scenario,
            receivers: &self.receivers,
            discoveries: &self.discoveries,
            programs: &self.programs,
            links: &self.links,
            event_log: &self.event_log,
            failures,
            start,
            tasks,
        };
        player.schedule_all();
    }

    /// Stops the senders and adds their resource use to the result.
    async fn stop_programs(&self, failures: &Failures, result: &mut RunResult) {
        for program in &self.programs {
            let mut program = program.lock().await;
            result.cpu_us += program.cpu_us().unwrap_or(0);
            result.peak_kib = result.peak_kib.max(program.peak_kib().unwrap_or(0));
            failures.check_exit(program.stop().await, RunFailure::UncleanExit);
        }
    }
}

/// Whether the scenario upgrades the sender with this index, so that its listening socket must stay open after its process
/// exits.
fn is_upgraded(scenario: &Scenario, index: usize) -> bool {
    let is_upgrade =
        |event: &ScheduledEvent| matches!(event, ScheduledEvent::Upgrade { sender, .. } if *sender == index);
    scenario.events.iter().any(is_upgrade)
}

/// Path of the sender's program in the folder of the running program, where cargo puts both; `None` if it does not exist.
pub fn program_beside_this_one() -> Option<PathBuf> {
    let running_program = std::env::current_exe().ok()?;
    let path = running_program.parent()?.join("rudderspindle");
    path.exists().then_some(path)
}
