//! Call permits shared by twelve processes: the limit holds over lost datagrams, kills and pauses.

mod cluster;

use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::cluster::{Cluster, Journal};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use tokio::time::sleep;

use cluster::{HEAD, Row, SENDERS, StartedCluster};

/// Maximum of calls that start in any second, as a share of the limit. Permits cover 0.95 of it, each for 0.1 s.
const MAX_USAGE: f64 = 1.10;
/// Maximum of rejected calls for each delivered message.
const MAX_REJECTED: f64 = 0.05;

async fn phase(cluster: &mut Cluster, name: &'static str, ms: u64) -> Row {
    Row { phase: name, usage: cluster.measure_usage(Duration::from_millis(ms)).await }
}

/// The usage in each phase of a run.
struct PermitRun {
    rows: Vec<Row>,
    /// Whether the machine was too busy for a result.
    is_inconclusive: bool,
}

/// Runs the phases one after another.
async fn run(file: &Path) -> PermitRun {
    let StartedCluster { mut cluster, folder: _folder } = cluster::start(19, 7, Some(file)).await;
    let all: Vec<usize> = (0..SENDERS).collect();
    let half = &all[..SENDERS / 2];
    let mut rows = Vec::new();
    cluster.start_load();
    // Time for the first permits and for queued calls at all senders.
    sleep(Duration::from_millis(3_500)).await;
    cluster.links.cut(&all, half);
    rows.push(phase(&mut cluster, "half receive nothing, but send", 4_000).await);
    cluster.links.heal();
    let faults = LinkFaults {
        drop: 0.5,
        duplicate: 0.3,
        reorder: 0.3,
        delay: Duration::from_millis(1)..Duration::from_millis(120),
        replay_after: Some(Duration::from_millis(700)),
        ..LinkFaults::default()
    };
    cluster.links.set(&all, &all, &faults);
    rows.push(
        phase(&mut cluster, "half of all datagrams lost, the others delayed, duplicated, replayed", 4_000)
            .await,
    );
    // One is killed and restarted within a second; another one is paused for longer than the lifetime of a permit.
    let from = cluster.event_log().now();
    cluster.kill(3).await.expect("killed");
    cluster.pause(8).await.expect("paused");
    sleep(Duration::from_millis(600)).await;
    cluster.restart(3, Journal::Kept).await.expect("restarted");
    sleep(Duration::from_millis(2_400)).await;
    cluster.resume(8).await.expect("resumed");
    sleep(Duration::from_millis(1_500)).await;
    let usage = cluster.usage(from..cluster.event_log().now());
    rows.push(Row { phase: "one killed and restarted, one paused and resumed", usage });
    cluster.links.heal();
    let from = cluster.event_log().now();
    cluster.kill(5).await.expect("killed");
    cluster.restart(5, Journal::Empty).await.expect("restarted");
    sleep(Duration::from_millis(2_500)).await;
    let usage = cluster.usage(from..cluster.event_log().now());
    rows.push(Row { phase: "one restarted with an empty folder", usage });
    PermitRun { rows, is_inconclusive: cluster.finish().await.is_inconclusive() }
}

#[tokio::test]
async fn a_limit_holds_in_every_second_while_datagrams_are_lost_and_processes_die_and_pause() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.example.toml");
    for _ in 0..3 {
        let PermitRun { rows, is_inconclusive } = run(&file).await;
        // On a busy machine calls arrive in bursts.
        if !is_inconclusive {
            let keeps =
                |row: &Row| row.usage.worst_sliding <= MAX_USAGE && row.usage.rejected <= MAX_REJECTED;
            let table: Vec<String> = rows.iter().map(ToString::to_string).collect();
            assert!(rows.iter().all(keeps), "{HEAD}\n{}", table.join("\n"));
            // The limit is used: permits of a partitioned process do not stay unused.
            assert!(rows[0].usage.mean >= 0.85, "{HEAD}\n{}", table.join("\n"));
            return;
        }
    }
    panic!("the fakes lagged three times: this machine is too busy for a result");
}

#[tokio::test]
async fn an_invalid_fleet_file_ends_the_start_with_one_line_that_names_its_position() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fleet.toml");
    std::fs::write(&file, "[share]\nbound = \"tight\"\n").expect("written");
    let config = serde_json::json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "limits": {"sockets": 64, "disk_mb": 3}, "settings": {"extra": {"calls_out": 4}, "kinds": ["k"],
        "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [{"name": "c", "effect": "free", "deadline": 9000.0}]}});
    std::fs::write(folder.path().join("config.json"), config.to_string()).expect("written");
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderspindle"));
    program.env("RELAY_CONFIG", folder.path().join("config.json")).env("RELAY_STATE", folder.path());
    let output = program.env("RELAY_FLEET", &file).output().await.expect("it runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(log.contains("fleet.toml, line 2: unknown variant `tight`, expected `use` or `strict`"), "{log}");
    assert_eq!(log.lines().filter(|line| line.contains("fleet")).count(), 1, "{log}");
}
