//! `scenario`: random scenarios with two real senders and injected faults, whose events are checked.

mod round;
mod totals;

use std::path::Path;
use std::time::Duration;

use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use rudderspindle_testkit::scenario::Scenario;
use tokio::task::JoinSet;

use crate::arguments::CommonArguments;
use crate::error::BenchmarkError;
use crate::report::Report;
use round::Round;
use totals::Totals;

/// Default time for which clients submit messages, s.
const DEFAULT_SECONDS: u16 = 45;
/// How often the progress bar is redrawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Which scenarios are run, and how.
#[derive(Clone, Copy, Debug, Args)]
pub struct ScenarioArguments {
    /// Runs only scenarios with this feature; others are skipped and do not count as a round.
    #[arg(long, alias = "having")]
    require: Option<Feature>,
    /// Number of scenarios that run in parallel; one whose fakes lagged is run again.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    jobs: u16,
}

/// What a scenario may have.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Feature {
    /// All endpoints of a receiver with one shared limit reject calls or connections at once.
    SharedOutage,
    /// A second process of a sender takes over from the first one.
    Takeover,
}

impl Feature {
    fn is_in(self, scenario: &Scenario) -> bool {
        match self {
            Self::SharedOutage => scenario.has_shared_outage(),
            Self::Takeover => scenario.has_takeover(),
        }
    }
}

/// A random scenario and its seed.
struct SeededScenario {
    seed: u64,
    scenario: Scenario,
}

/// Runs as many scenarios as there are rounds.
///
/// # Errors
///
/// [`BenchmarkError`] if the sender is missing, or the test environment or a file fails.
pub async fn run(common: &CommonArguments, arguments: &ScenarioArguments) -> Result<Report, BenchmarkError> {
    let seed = common.seed();
    let binary = common.sender()?;
    let mut report = Report::new("scenario", seed);
    let mut totals = Totals::default();
    let bar = progress_bar(common.rounds);
    let mut scenarios = scenarios(seed, common, arguments.require);
    // Each running scenario is a task of this set; all are waited for, or aborted when an error returns.
    let mut running = JoinSet::new();
    loop {
        while running.len() < usize::from(arguments.jobs) {
            let Some(SeededScenario { seed, scenario }) = scenarios.next() else { break };
            bar.set_message(format!("scenario {seed}"));
            running.spawn(round::run(seed, scenario, binary.clone(), common.keep.clone()));
        }
        let Some(round) = running.join_next().await else { break };
        let round = round.map_err(std::io::Error::other)??;
        bar.suspend(|| round.print());
        check(&round, common.keep.as_deref(), &mut report);
        totals.add(round);
        bar.inc(1);
    }
    bar.finish_and_clear();
    totals.report(&mut report);
    Ok(report)
}

/// The scenarios of consecutive seeds that have the required feature.
fn scenarios(
    first_seed: u64,
    common: &CommonArguments,
    required: Option<Feature>,
) -> impl Iterator<Item = SeededScenario> {
    let seconds = common.seconds.unwrap_or(DEFAULT_SECONDS);
    (first_seed..=u64::MAX)
        .map(move |seed| SeededScenario { seed, scenario: Scenario::random(seed, seconds) })
        .filter(move |seeded| required.is_none_or(|feature| feature.is_in(&seeded.scenario)))
        .take(common.rounds as usize)
}

/// A progress bar, which shows on a terminal only.
fn progress_bar(rounds: u64) -> ProgressBar {
    let bar = ProgressBar::new(rounds);
    bar.set_style(
        ProgressStyle::with_template("{msg} [{pos}/{len}] {elapsed}").unwrap_or(ProgressStyle::default_bar()),
    );
    bar.enable_steady_tick(PROGRESS_INTERVAL);
    bar
}

/// Reports the violations of a round, unless it is inconclusive.
fn check(round: &Round, kept: Option<&Path>, report: &mut Report) {
    let Round { seed, result, verdict, .. } = round;
    if verdict.is_inconclusive() {
        return;
    }
    let file = kept.map(|folder| folder.join(format!("{seed}.jsonl")).display().to_string());
    let file = file.unwrap_or("--keep FOLDER writes the log".to_owned());
    for violation in &verdict.violations {
        report.failed_check(format!(
            "seed {seed}: {:?}: {} (lines {:?}; {file})",
            violation.rule, violation.what, violation.lines
        ));
    }
    for failure in &result.failures {
        report.failed_check(format!("seed {seed}: {failure}"));
    }
    if verdict.accounting.duplicated > 0 {
        report.failed_check(format!("seed {seed}: {} duplicated", verdict.accounting.duplicated));
    }
}
