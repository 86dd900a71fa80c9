//! A cluster of twelve senders before one destination, and the phases of faults in which its calls are counted.
#![allow(dead_code, reason = "each test uses its part")]

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use rudderspindle_testkit::checker::Verdict;
use rudderspindle_testkit::cluster::{Cluster, Journal};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::Scenario;
use rudderspindle_testkit::usage::Usage;
use tempfile::TempDir;
use tokio::time::sleep;

/// Number of senders: above ten they exchange their demand by gossip.
pub const SENDERS: usize = 12;
/// Limit of the destination, in calls a second.
pub const LIMIT: f64 = 60.0;
/// Maximum lifetime of a message.
pub const MAX_MESSAGE_LIFETIME: Duration = Duration::from_secs(6);

/// A cluster, and the folder that holds its state.
pub struct StartedCluster {
    pub cluster: Cluster,
    pub folder: TempDir,
}

/// Starts the senders for a load of 90 messages a second. `fleet_file` is the operator's fleet configuration.
pub async fn start(seconds: u16, seed: u64, fleet_file: Option<&Path>) -> StartedCluster {
    let scenario = format!(
        r#"
seed = {seed}
seconds = {seconds}
senders = {SENDERS}
list_delay_ms = 50

[traffic]
per_s = 90.0
idempotent_share = 0.5
burst_share = 0.0
burst_len = 1
retry_share = 0.0
abandon_share = 0.0
malformed_per_s = 0.0

[[receivers]]
number = 1
name = "counts"
per_s = {LIMIT:.1}
limit = {{ kind = "window", window_ms = 1000 }}
retry_after = {{ share = 0.4 }}
service_time_ms = 50
max_queued = 500
max_connections = 64
weight = 1.0
endpoints = [{{ id = "p1-0", zone = "hall-a" }}, {{ id = "p1-1", zone = "hall-b" }}]
"#
    );
    let scenario = Scenario::parse(&scenario, Path::new("fleet.toml")).expect("a scenario");
    let mut launch = Launch::from(Path::new(env!("CARGO_BIN_EXE_rudderspindle")));
    // Dropped datagrams are logged at the level debug.
    launch.variables.push(("RELAY_LOG".to_owned(), "info,notes=debug".to_owned()));
    launch.variables.extend(fleet_file.map(|path| ("RELAY_FLEET".to_owned(), path.display().to_string())));
    let folder = tempfile::tempdir().expect("a folder");
    let cluster =
        Cluster::start(&scenario, &launch, folder.path(), MAX_MESSAGE_LIFETIME).await.expect("senders");
    StartedCluster { cluster, folder }
}

/// Polls a condition until it holds; panics after `timeout`.
pub async fn wait_until(
    what: &str,
    timeout: Duration,
    poll_interval: Duration,
    mut condition: impl FnMut() -> bool,
) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not within {timeout:?}");
        sleep(poll_interval).await;
    }
}

/// The log of a sender so far.
fn log(folder: &Path, sender: usize) -> String {
    std::fs::read_to_string(folder.join(format!("n{sender}/log"))).expect("a log")
}

/// How many of these senders have this text in their logs.
pub fn count_logged(folder: &Path, senders: impl IntoIterator<Item = usize>, text: &str) -> usize {
    senders.into_iter().filter(|sender| log(folder, *sender).contains(text)).count()
}

/// Whether any sender's log contains this text.
pub fn logged(folder: &Path, text: &str) -> bool {
    (0..SENDERS).any(|sender| log(folder, sender).contains(text))
}

/// The measured usage of one phase.
#[derive(Clone, Debug)]
pub struct Row {
    pub phase: &'static str,
    pub usage: Usage,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Usage { mean, first, worst, worst_sliding, rejected } = self.usage;
        write!(
            f,
            "| {} | {mean:.2} | {first:.2} | {worst:.2} | {worst_sliding:.2} | {rejected:.2} |",
            self.phase
        )
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Head of the table; calls are shares of the limit.
pub const HEAD: &str = "| phase | mean | first second | worst second after it | worst sliding second | rejected for each delivered |
| --- | --- | --- | --- | --- | --- |";

/// The usage in each phase of a run, and the verdict on the run.
pub struct PhaseMeasurements {
    pub rows: Vec<Row>,
    pub verdict: Verdict,
}

/// Runs all phases, with a fleet configuration or without, and checks the whole run. It takes 85 s.
pub async fn measure_phases(fleet_file: Option<&Path>) -> PhaseMeasurements {
    let StartedCluster { mut cluster, folder: _folder } = start(79, 35, fleet_file).await;
    let mut rows = Vec::new();
    let mut row = |phase, usage| rows.push(Row { phase, usage });
    let all: Vec<usize> = (0..SENDERS).collect();
    let (even, odd): (Vec<usize>, Vec<usize>) = all.iter().partition(|n| *n % 2 == 0);
    let half = &all[..SENDERS / 2];
    cluster.start_load();
    // Time for gossip between all senders and for steady queues.
    sleep(secs(6)).await;
    row("all links up", cluster.measure_usage(secs(10)).await);

    cluster.links.cut(&all, half);
    row("half receive nothing for 12 s", cluster.measure_usage(secs(12)).await);
    cluster.links.heal();
    row("they receive again", cluster.measure_usage(secs(4)).await);

    // Zones alternate by index.
    cluster.links.cut(&even, &odd);
    cluster.links.cut(&odd, &even);
    row("the two zones partitioned", cluster.measure_usage(secs(10)).await);
    cluster.links.heal();
    row("the partition healed", cluster.measure_usage(secs(4)).await);

    cluster.links.set(&all, &all, &LinkFaults { drop: 0.5, ..LinkFaults::default() });
    row("half of all datagrams lost", cluster.measure_usage(secs(10)).await);
    cluster.links.heal();

    row("a third killed, restarted after 0.6 s", measure_kills(&mut cluster, &all[..SENDERS / 3]).await);
    let paused = &all[SENDERS / 2..SENDERS / 2 + 3];
    row("three paused for 8 s, and resumed", measure_pauses(&cluster, paused).await);
    PhaseMeasurements { rows, verdict: cluster.finish().await }
}

/// Measures the usage while these senders are killed and restarted.
async fn measure_kills(cluster: &mut Cluster, senders: &[usize]) -> Usage {
    let from = cluster.event_log().now();
    for &sender in senders {
        cluster.kill(sender).await.expect("killed");
    }
    sleep(Duration::from_millis(600)).await;
    for &sender in senders {
        cluster.restart(sender, Journal::Kept).await.expect("restarted");
    }
    sleep(secs(4)).await;
    cluster.usage(from..cluster.event_log().now())
}

/// Measures the usage while these senders are paused and resumed.
async fn measure_pauses(cluster: &Cluster, senders: &[usize]) -> Usage {
    let from = cluster.event_log().now();
    for &sender in senders {
        cluster.pause(sender).await.expect("paused");
    }
    sleep(secs(8)).await;
    for &sender in senders {
        cluster.resume(sender).await.expect("resumed");
    }
    sleep(secs(4)).await;
    cluster.usage(from..cluster.event_log().now())
}
