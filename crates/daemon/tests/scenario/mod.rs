//! Runs of a scripted scenario with real sender processes, checked against the delivery rules.
#![allow(dead_code, reason = "each test file uses its part")]

use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::checker::{Verdict, check_events};
use rudderspindle_testkit::event_log::Line;
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::Scenario;
use rudderspindle_testkit::test_environment::{EnvironmentConfig, TestEnvironment};

/// How often a run is repeated in which the fakes lagged.
const MAX_RUNS: usize = 3;

/// The event log of a run, and the verdict on it.
pub struct CheckedRun {
    pub lines: Vec<Line>,
    pub verdict: Verdict,
}

/// Runs the scenario until a run is conclusive, at most [`MAX_RUNS`] times.
pub async fn run(script: &str, max_message_lifetime: Duration) -> CheckedRun {
    let scenario = Scenario::parse(script, Path::new("test.toml")).expect("a script");
    for _ in 0..MAX_RUNS {
        let folder = tempfile::tempdir().expect("a folder");
        let launch = Launch::from(Path::new(env!("CARGO_BIN_EXE_rudderspindle")));
        let config = EnvironmentConfig {
            launch,
            folder: folder.path().to_owned(),
            max_lifetime: max_message_lifetime,
        };
        let played = TestEnvironment::start(&scenario, &config).await.expect("an environment").run().await;
        assert!(played.failures.is_empty(), "{:?}", played.failures);
        let verdict = check_events(&played.lines);
        if !verdict.is_inconclusive() {
            return CheckedRun { lines: played.lines, verdict };
        }
    }
    panic!("the fakes lagged in each run: this machine is too busy for a result");
}

/// Two destinations: a large one with independent endpoints that always sends Retry-After, and a small one that sends
/// it with this share of its rejections.
pub fn destinations(retry_after_share: f64) -> String {
    format!(
        r#"
[[receivers]]
number = 1
name = "well"
independent = true
per_s = 20.0
limit = {{ kind = "rate" }}
retry_after = {{ share = 1.0 }}
service_time_ms = 80
max_queued = 8
max_connections = 32
weight = 1.0
endpoints = [{{ id = "p1-0", zone = "hall-a" }}, {{ id = "p1-1", zone = "hall-b" }}]

[[receivers]]
number = 2
name = "small"
per_s = 10.0
limit = {{ kind = "window", window_ms = 1000 }}
retry_after = {{ share = {retry_after_share:.1} }}
service_time_ms = 80
max_queued = 8
max_connections = 32
weight = 0.5
endpoints = [{{ id = "p2-0", zone = "hall-a" }}]
"#
    )
}
