//! Twelve processes with rights to call, and faults among them: the limit holds, whoever hears nothing.

mod cluster;

use std::path::Path;
use std::time::Duration;

use cluster::{HEAD, Row, SENDERS};
use rudderspindle_testkit::cluster::{Cluster, Journal};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use tokio::time::sleep;

/// In any second so much of the limit at most may start: turns are 0.95 of it, each for a tenth of a second.
const MOST: f64 = 1.10;
/// Refused for each delivered, at the most.
const REFUSED: f64 = 0.05;

async fn phase(tier: &mut Cluster, name: &'static str, ms: u64) -> Row {
    Row { phase: name, usage: tier.measure_usage(Duration::from_millis(ms)).await }
}

/// The phases one after another, and whether the machine was too busy to tell anything.
async fn play(file: &Path) -> (Vec<Row>, bool) {
    let (mut tier, _folder) = cluster::tier(19, 7, Some(file)).await;
    let all: Vec<usize> = (0..SENDERS).collect();
    let half = &all[..SENDERS / 2];
    let mut rows = Vec::new();
    tier.start_load();
    // Until each has its first turns and calls wait everywhere.
    sleep(Duration::from_millis(3_500)).await;
    tier.mesh.cut(&all, half);
    rows.push(phase(&mut tier, "half hear nothing, and are heard", 4_000).await);
    tier.mesh.heal();
    let foul = LinkFaults {
        drop: 0.5,
        duplicate: 0.3,
        reorder: 0.3,
        delay: Duration::from_millis(1)..Duration::from_millis(120),
        replay_after: Some(Duration::from_millis(700)),
        ..LinkFaults::default()
    };
    tier.mesh.set(&all, &all, &foul);
    rows.push(phase(&mut tier, "half of all notes lost, the others late, doubled, replayed", 4_000).await);
    // One has used a part of the second, and is back within it; another one stands still for longer than any right lasts.
    let from = tier.event_log().now();
    tier.kill(3).await.expect("killed");
    tier.pause(8).await.expect("stopped");
    sleep(Duration::from_millis(600)).await;
    tier.restart(3, Journal::Kept).await.expect("it starts again");
    sleep(Duration::from_millis(2_400)).await;
    tier.resume(8).await.expect("it goes on");
    sleep(Duration::from_millis(1_500)).await;
    let usage = tier.usage(from..tier.event_log().now());
    rows.push(Row { phase: "one killed and back, one stopped and on", usage });
    tier.mesh.heal();
    let from = tier.event_log().now();
    tier.kill(5).await.expect("killed");
    tier.restart(5, Journal::Empty).await.expect("it starts again");
    sleep(Duration::from_millis(2_500)).await;
    let usage = tier.usage(from..tier.event_log().now());
    rows.push(Row { phase: "one comes back with an empty folder", usage });
    (rows, tier.finish().await.is_inconclusive())
}

#[tokio::test]
async fn a_limit_holds_in_every_second_while_notes_are_lost_and_processes_die_and_stop() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.example.toml");
    for _ in 0..3 {
        let (rows, in_doubt) = play(&file).await;
        // On a machine that is too busy calls bunch on their way.
        if !in_doubt {
            let keeps = |row: &Row| row.usage.worst_sliding <= MOST && row.usage.refused <= REFUSED;
            let table: Vec<String> = rows.iter().map(ToString::to_string).collect();
            assert!(rows.iter().all(keeps), "{HEAD}\n{}", table.join("\n"));
            // What is bound is also used: nobody waits for what a deaf one could have.
            assert!(rows[0].usage.mean >= 0.85, "{HEAD}\n{}", table.join("\n"));
            return;
        }
    }
    panic!("the stand-ins were late three times: this machine is too busy to tell anything");
}

#[tokio::test]
async fn a_file_that_cannot_be_used_ends_the_start_with_one_line_that_names_the_place() {
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
    let ended = program.env("RELAY_FLEET", &file).output().await.expect("it runs");
    let log = String::from_utf8_lossy(&ended.stderr);
    assert!(!ended.status.success());
    assert!(log.contains("fleet.toml, line 2: unknown variant `tight`, expected `use` or `strict`"), "{log}");
    assert_eq!(log.lines().filter(|line| line.contains("fleet")).count(), 1, "{log}");
}
