//! Runs one scenario, again where the test environment was too slow for a verdict.

use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rudderspindle_testkit::checker::{Verdict, check_events};
use rudderspindle_testkit::event_log;
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::Scenario;
use rudderspindle_testkit::test_environment::{EnvironmentConfig, RunResult, TestEnvironment};

use crate::error::BenchmarkError;

/// Maximum lifetime of a message, which bounds the time from the last submission to the end of a scenario.
const MAX_LIFETIME: Duration = Duration::from_secs(12);
/// How often an inconclusive scenario is run again.
const MAX_RERUNS: u64 = 2;

/// A scenario that was run.
pub(super) struct Round {
    pub seed: u64,
    pub scenario: Scenario,
    pub result: RunResult,
    pub verdict: Verdict,
    /// Inconclusive runs before this one.
    pub reruns: u64,
}

/// Runs a scenario until its verdict is conclusive, at most `1 + MAX_RERUNS` times.
pub(super) async fn run(
    seed: u64,
    scenario: Scenario,
    sender: PathBuf,
    keep: Option<PathBuf>,
) -> Result<Round, BenchmarkError> {
    let mut reruns = 0;
    loop {
        let temporary = tempfile::tempdir()?;
        let kept = keep.as_ref().map(|keep| keep.join(seed.to_string()));
        let folder = kept.unwrap_or(temporary.path().to_owned());
        // The senders would recover what is in the journals of an earlier run.
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        let launch = Launch::from(sender.as_path());
        let config = EnvironmentConfig { launch, folder, max_lifetime: MAX_LIFETIME };
        let result = TestEnvironment::start(&scenario, &config).await?.run().await;
        let verdict = check_events(&result.lines);
        if let Some(keep) = &keep {
            write_events(keep, seed, &result)?;
        }
        if !verdict.is_inconclusive() || reruns == MAX_RERUNS {
            return Ok(Round { seed, scenario, result, verdict, reruns });
        }
        reruns += 1;
    }
}

fn write_events(folder: &Path, seed: u64, result: &RunResult) -> io::Result<()> {
    let file = std::fs::File::create(folder.join(format!("{seed}.jsonl")))?;
    event_log::write(&result.lines, BufWriter::new(file))
}

impl Round {
    /// Prints the scenario's events and the verdict.
    pub fn print(&self) {
        let Self { seed, scenario, result, verdict, .. } = self;
        let per_s = scenario.traffic.per_s.get();
        println!("scenario {seed}: {} receivers, {per_s:.0} messages per second", scenario.receivers.len());
        for event in &scenario.events {
            println!("  {}", serde_json::to_string(event).unwrap_or_default());
        }
        print!("{verdict}");
        println!("scenario {seed}: peak load during a recovery {:.2}", verdict.peak_recovery_ratio());
        for failure in &result.failures {
            println!("FAILED: {failure}");
        }
        println!();
    }
}
