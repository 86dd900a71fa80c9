//! Runs a scenario against real sender processes, and checks its events.

use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::checker::{Verdict, check_events};
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::{Scenario, ScenarioError};
use rudderspindle_testkit::test_environment::{
    EnvironmentConfig, EnvironmentError, RunResult, TestEnvironment,
};
use tokio::time::sleep;

use crate::arguments::Arguments;
use crate::progress::Progress;
use crate::{SENDER_ARGUMENT, html_report};

/// The scenario that runs unless another is given.
const BUILT_IN_SCENARIO: &str = include_str!("scenario.toml");
/// Maximum lifetime of a message, which bounds the time from the last submission to the end of the run.
const MAX_LIFETIME: Duration = Duration::from_secs(8);
/// Interval between updates of the display.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Why the demo could not run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The scenario cannot be read or is inconsistent.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// The senders or their test environment did not start.
    #[error("{0}")]
    TestEnvironment(#[from] EnvironmentError),
    /// A file, a process or a task failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Runs the scenario with its progress on standard output; whether all rules were kept.
///
/// # Errors
///
/// [`DemoError`] if the scenario is invalid, the senders do not start, or the report cannot be written.
pub async fn run(arguments: &Arguments) -> Result<bool, DemoError> {
    let scenario = read_scenario(arguments.scenario.as_deref())?;
    let folder = tempfile::tempdir()?;
    let config =
        EnvironmentConfig { launch: launch()?, folder: folder.path().to_owned(), max_lifetime: MAX_LIFETIME };
    print_head(&scenario);
    let environment = TestEnvironment::start(&scenario, &config).await?;
    let mut progress = Progress::new(environment.event_log(), &scenario);
    let result = run_with_progress(environment, &mut progress).await?;
    let verdict = check_events(&result.lines);
    print_verdict(&verdict, &result);
    if let Some(path) = &arguments.report {
        let duration_us = result.lines.last().map_or(0, |line| line.t);
        std::fs::write(path, html_report::render(progress.statistics(), &verdict, duration_us))?;
        println!("report written to {}", path.display());
    }
    Ok(verdict.is_clean() && result.failures.is_empty())
}

fn read_scenario(path: Option<&Path>) -> Result<Scenario, ScenarioError> {
    match path {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(BUILT_IN_SCENARIO, Path::new("scenario.toml")),
    }
}

/// Starts this program as a sender.
fn launch() -> std::io::Result<Launch> {
    Ok(Launch {
        program: std::env::current_exe()?,
        arguments: vec![SENDER_ARGUMENT.to_owned()],
        variables: Vec::new(),
    })
}

async fn run_with_progress(
    environment: TestEnvironment,
    progress: &mut Progress,
) -> Result<RunResult, DemoError> {
    let mut running = tokio::spawn(environment.run());
    let result = loop {
        tokio::select! {
            result = &mut running => break result,
            () = sleep(UPDATE_INTERVAL) => progress.update(),
        }
    };
    progress.finish();
    Ok(result.map_err(std::io::Error::other)?)
}

fn print_head(scenario: &Scenario) {
    println!(
        "{} senders, {} receivers, {:.0} messages per second for {} s",
        scenario.senders,
        scenario.receivers.len(),
        scenario.traffic.per_s.get(),
        scenario.seconds
    );
}

fn print_verdict(verdict: &Verdict, result: &RunResult) {
    println!("\n{verdict}");
    for failure in &result.failures {
        println!("FAILED: {failure}");
    }
}
