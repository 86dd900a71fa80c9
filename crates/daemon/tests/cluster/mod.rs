//! Twelve senders before one partner, and the faults that the table tells of.
#![allow(dead_code, reason = "each test uses its part")]

use std::fmt;
use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::checker::Verdict;
use rudderspindle_testkit::cluster::{Cluster, Journal};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::Scenario;
use rudderspindle_testkit::usage::Usage;
use tempfile::TempDir;
use tokio::time::sleep;

/// More than ten tell one another what they want.
pub const SENDERS: usize = 12;
/// Calls a second that the partner takes.
pub const LIMIT: f64 = 60.0;
/// No message is delivered for longer.
pub const LONGEST: Duration = Duration::from_secs(6);

/// So many senders that are handed 90 messages a second for so long, and what keeps their folder. A file of the
/// operator's for the fleet, if any.
pub async fn tier(seconds: u16, seed: u64, fleet_file: Option<&Path>) -> (Cluster, TempDir) {
    let script = format!(
        r#"
seed = {seed}
seconds = {seconds}
senders = {SENDERS}
list_late_ms = 50

[traffic]
per_s = 90.0
status_share = 0.5
clumps = 0.0
clump = 1
retries = 0.0
leave = 0.0
bad_per_s = 0.0

[[partners]]
number = 1
name = "counts"
per_s = {LIMIT:.1}
limit = {{ kind = "span", span_ms = 1000 }}
tells = {{ share = 0.4 }}
work_ms = 50
queue = 500
connections = 64
weight = 1.0
endpoints = [{{ id = "p1-0", hall = "hall-a" }}, {{ id = "p1-1", hall = "hall-b" }}]
"#
    );
    let script = Scenario::parse(&script, Path::new("fleet.toml")).expect("a script");
    let mut launch = Launch::from(Path::new(env!("CARGO_BIN_EXE_rudderspindle")));
    // Notes that a sender drops are told there.
    launch.variables.push(("RELAY_LOG".to_owned(), "info,notes=debug".to_owned()));
    launch.variables.extend(fleet_file.map(|path| ("RELAY_FLEET".to_owned(), path.display().to_string())));
    let folder = tempfile::tempdir().expect("a folder");
    let tier = Cluster::start(&script, &launch, folder.path(), LONGEST).await.expect("senders");
    (tier, folder)
}

/// Whether any sender's log holds this.
pub fn logged(folder: &Path, text: &str) -> bool {
    let log = |n: usize| std::fs::read_to_string(folder.join(format!("n{n}/log"))).expect("a log");
    (0..SENDERS).any(|n| log(n).contains(text))
}

/// What one phase came to.
#[derive(Clone, Debug)]
pub struct Row {
    pub phase: &'static str,
    pub usage: Usage,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Usage { mean, first, worst, worst_sliding, refused } = self.usage;
        write!(
            f,
            "| {} | {mean:.2} | {first:.2} | {worst:.2} | {worst_sliding:.2} | {refused:.2} |",
            self.phase
        )
    }
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// The head of the table; calls are shares of the limit.
pub const HEAD: &str = "| phase | mean | first second | worst second after it | worst sliding second | refused for each delivered |
| --- | --- | --- | --- | --- | --- |";

/// Plays all phases, with an operator's file or without; and what the judge says of all of it. It takes 85 s.
pub async fn table(fleet_file: Option<&Path>) -> (Vec<Row>, Verdict) {
    let (mut tier, _folder) = tier(79, 35, fleet_file).await;
    let mut rows = Vec::new();
    let mut row = |phase, usage| rows.push(Row { phase, usage });
    let all: Vec<usize> = (0..SENDERS).collect();
    let (even, odd): (Vec<usize>, Vec<usize>) = all.iter().partition(|n| *n % 2 == 0);
    let half = &all[..SENDERS / 2];
    tier.start_load();
    // Until all have heard of one another and the queues are what they will be.
    sleep(secs(6)).await;
    row("all hear", tier.measure_usage(secs(10)).await);

    tier.mesh.cut(&all, half);
    row("half hear nothing for 12 s", tier.measure_usage(secs(12)).await);
    tier.mesh.heal();
    row("they hear again", tier.measure_usage(secs(4)).await);

    // Halls are dealt out in turn.
    tier.mesh.cut(&even, &odd);
    tier.mesh.cut(&odd, &even);
    row("the two halls cut from one another", tier.measure_usage(secs(10)).await);
    tier.mesh.heal();
    row("they are joined again", tier.measure_usage(secs(4)).await);

    tier.mesh.set(&all, &all, &LinkFaults { drop: 0.5, ..LinkFaults::default() });
    row("half of all notes lost", tier.measure_usage(secs(10)).await);
    tier.mesh.heal();

    let from = tier.event_log().now();
    let third = &all[..SENDERS / 3];
    for &sender in third {
        tier.kill(sender).await.expect("killed");
    }
    sleep(Duration::from_millis(600)).await;
    for &sender in third {
        tier.restart(sender, Journal::Kept).await.expect("it starts again");
    }
    sleep(secs(4)).await;
    row("a third killed, and back after 0.6 s", tier.usage(from..tier.event_log().now()));

    let three = &all[SENDERS / 2..SENDERS / 2 + 3];
    let from = tier.event_log().now();
    for &sender in three {
        tier.pause(sender).await.expect("stopped");
    }
    sleep(secs(8)).await;
    for &sender in three {
        tier.resume(sender).await.expect("it goes on");
    }
    sleep(secs(4)).await;
    row("three stopped for 8 s, and go on", tier.usage(from..tier.event_log().now()));
    (rows, tier.finish().await)
}
