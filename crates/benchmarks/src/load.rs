//! `load`: the CPU cost of a message in the built sender on one core, compared with a minimal relay on the same HTTP
//! library.
//!
//! The two processes run on the same core, alternating, under the same clients and receivers, which run in this process
//! on the other cores. Each client submits its next message when the previous one was answered.

mod clients;
mod framing;
mod process;
mod receivers;
mod targets;

use std::process::Stdio;
use std::time::Duration;

use clap::Args;
use tokio::process::Command;

use crate::arguments::CommonArguments;
use crate::error::BenchmarkError;
use crate::median::median;
use crate::report::Report;
use clients::LoadMetrics;
use receivers::Receivers;
use targets::{measure_relay, measure_sender};

/// Number of alternating measurements of sender and relay in each round; the metrics are medians.
const PAIRS: u64 = 3;
/// Default duration of each measurement without its warm-up, s.
const DEFAULT_SECONDS: u16 = 4;
/// The core on which only the measured process runs.
const CORE: usize = 0;

/// The load.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// Number of clients, each with its own connection and one submission at a time.
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Number of destinations, each with one endpoint.
    #[arg(long, default_value_t = 32)]
    destinations: usize,
    /// Response time of a receiver, milliseconds.
    #[arg(long, alias = "partner-ms", default_value_t = 0)]
    response_ms: u16,
    /// Minimum time between two batches, milliseconds; 1 in production.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    tick_ms: u16,
}

/// Measures the sender and the relay, alternating.
///
/// # Errors
///
/// [`BenchmarkError`] if the sender is missing, or a process, a socket or the kernel's statistics fail.
pub async fn run(common: &CommonArguments, load: &LoadArguments) -> Result<Report, BenchmarkError> {
    let seed = common.seed();
    let binary = common.sender()?;
    let duration = Duration::from_secs(common.seconds.unwrap_or(DEFAULT_SECONDS).into());
    leave_core_to_measured_process().await?;
    let work = Duration::from_millis(load.response_ms.into());
    let receivers = Receivers::start(load.destinations, work).await?;
    let mut sender = Vec::new();
    let mut relay = Vec::new();
    for pair in 0..PAIRS * common.rounds {
        sender.push(measure_sender(&binary, &receivers, load, seed ^ pair, duration).await?);
        relay.push(measure_relay(&receivers, load, duration).await?);
    }
    let sender = medians(&sender);
    let relay = medians(&relay);
    print_table(load, &sender, &relay);
    Ok(report(seed, &sender, &relay))
}

/// Selects one of the metrics.
type Metric = fn(&LoadMetrics) -> f64;

/// Moves this process to the other cores, if there are any.
async fn leave_core_to_measured_process() -> Result<(), BenchmarkError> {
    let cores = std::thread::available_parallelism()?.get();
    if cores > 1 {
        let other_cores = format!("1-{}", cores - 1);
        let pid = std::process::id().to_string();
        let mut taskset = Command::new("taskset");
        taskset.args(["-a", "-c", "-p", &other_cores, &pid]).stdout(Stdio::null()).status().await?;
    }
    Ok(())
}

fn medians(runs: &[LoadMetrics]) -> LoadMetrics {
    let median = |of: Metric| median(runs.iter().map(of));
    LoadMetrics {
        per_s: median(|run| run.per_s),
        cpu_us: median(|run| run.cpu_us),
        own_cpu_us: median(|run| run.own_cpu_us),
        p50_ms: median(|run| run.p50_ms),
        p99_ms: median(|run| run.p99_ms),
        p999_ms: median(|run| run.p999_ms),
        peak_kib: median(|run| run.peak_kib),
        rejected: median(|run| run.rejected),
    }
}

fn print_table(load: &LoadArguments, sender: &LoadMetrics, relay: &LoadMetrics) {
    println!(
        "{} clients, {} destinations, response time {} ms",
        load.clients, load.destinations, load.response_ms
    );
    println!("{:<30}{:>12}{:>12}", "", "sender", "relay");
    let rows: [(&str, Metric); 8] = [
        ("messages per second", |run| run.per_s),
        ("CPU, us per message", |run| run.cpu_us),
        ("benchmark CPU, us per message", |run| run.own_cpu_us),
        ("202 p50, ms", |run| run.p50_ms),
        ("202 p99, ms", |run| run.p99_ms),
        ("202 p99.9, ms", |run| run.p999_ms),
        ("peak memory, KiB", |run| run.peak_kib),
        ("rejected, share", |run| run.rejected),
    ];
    for (name, of) in rows {
        println!("{name:<30}{:>12.3}{:>12.3}", of(sender), of(relay));
    }
}

fn report(seed: u64, sender: &LoadMetrics, relay: &LoadMetrics) -> Report {
    let mut report = Report::new("load", seed);
    for (target, metrics) in [("sender", sender), ("relay", relay)] {
        report.metric(&format!("{target}_messages_per_s"), metrics.per_s);
        report.metric(&format!("{target}_cpu_us_per_message"), metrics.cpu_us);
        report.metric(&format!("{target}_p50_ms"), metrics.p50_ms);
        report.metric(&format!("{target}_p99_ms"), metrics.p99_ms);
        report.metric(&format!("{target}_p999_ms"), metrics.p999_ms);
        report.metric(&format!("{target}_peak_kib"), metrics.peak_kib);
        report.metric(&format!("{target}_refused_share"), metrics.rejected);
    }
    report.metric("rig_cpu_us_per_message", sender.own_cpu_us);
    report.metric("p50_ratio", sender.p50_ms / relay.p50_ms);
    report.metric("cpu_ratio", sender.cpu_us / relay.cpu_us);
    report
}
