//! `http2`: bursts of calls to one receiver over HTTP/2 and over HTTP/1.1 with a pooled connection for each call in
//! flight, alternating; and the time from a GOAWAY to the response of the next call.
//!
//! It measures the client of `crates/http2` without a journal or a policy.

mod bursts;
mod goaway;
mod receiver;

use std::io;
use std::time::Duration;

use clap::Args;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

use crate::arguments::CommonArguments;
use crate::error::BenchmarkError;
use crate::median::median;
use crate::report::Report;
use bursts::BurstMetrics;
use receiver::ReceiverThread;

/// Default duration of each run, s.
const DEFAULT_SECONDS: u16 = 8;
/// Number of alternating runs of the two protocols.
const PAIRS: u64 = 3;
/// Maximum duration of a call.
const DEADLINE: Duration = Duration::from_secs(12);
/// Objective for the time from a GOAWAY to the response of the next call, ms.
const GOAWAY_OBJECTIVE_MS: f64 = 50.0;

/// The bursts and the receiver.
#[derive(Clone, Debug, Args)]
pub struct Http2Arguments {
    /// Mean number of calls in a burst; the mean interval between bursts is one second.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(1..=5_000))]
    burst: u16,
    /// Number of calls that the receiver processes at once; others wait.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    workers: u16,
    /// Mean service time of a call, milliseconds.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(1..=5_000))]
    work_ms: u16,
}

/// The protocol of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    Http2,
    Http1,
}

impl Protocol {
    const ALL: [Self; 2] = [Self::Http2, Self::Http1];

    /// The name in the table.
    fn name(self) -> &'static str {
        match self {
            Self::Http2 => "HTTP/2",
            Self::Http1 => "HTTP/1.1",
        }
    }

    /// The prefix of the metrics' names.
    fn key(self) -> &'static str {
        match self {
            Self::Http2 => "http2",
            Self::Http1 => "http1",
        }
    }
}

/// Measures bursts over both protocols, and GOAWAYs.
///
/// # Errors
///
/// [`BenchmarkError`] if a socket, a thread or the kernel's statistics fail.
pub fn run(common: &CommonArguments, arguments: &Http2Arguments) -> Result<Report, BenchmarkError> {
    let seed = common.seed();
    let mut report = Report::new("http2", seed);
    let duration = Duration::from_secs(u64::from(common.seconds.unwrap_or(DEFAULT_SECONDS)));
    print_head(seed, arguments);
    let [mut http2, mut http1] = [const { Vec::new() }; 2];
    for pair in 0..PAIRS {
        let seed = seed.wrapping_add(pair);
        http2.push(run_bursts(Protocol::Http2, seed, duration, arguments, &mut report)?);
        http1.push(run_bursts(Protocol::Http1, seed, duration, arguments, &mut report)?);
    }
    for (protocol, runs) in Protocol::ALL.into_iter().zip([&http2, &http1]) {
        report_medians(protocol, runs, &mut report);
    }
    let cpu_us = |runs: &[BurstMetrics]| median(runs.iter().map(|run| run.cpu_us));
    report.metric("cpu_ratio", cpu_us(&http2) / cpu_us(&http1).max(f64::MIN_POSITIVE));
    report_goaways(&mut report)?;
    Ok(report)
}

fn print_head(seed: u64, arguments: &Http2Arguments) {
    let Http2Arguments { burst, workers, work_ms } = arguments;
    println!("seed {seed}, bursts of {burst} calls per second, {workers} workers, service time {work_ms} ms");
    println!(
        "{:<10} {:>16} {:>18} {:>14} {:>10}",
        "protocol", "in 4 s (share)", "CPU per call (us)", "connections", "p99 (ms)"
    );
}

/// Runs one protocol against a receiver in its own thread.
fn run_bursts(
    protocol: Protocol,
    seed: u64,
    duration: Duration,
    arguments: &Http2Arguments,
    report: &mut Report,
) -> Result<BurstMetrics, BenchmarkError> {
    let receiver = ReceiverThread::start(protocol, seed, arguments)?;
    let bursts = bursts::run(protocol, receiver.addr, seed, duration, arguments.burst);
    let metrics = LocalSet::new().block_on(&current_thread_runtime()?, bursts)?;
    receiver.stop()?;
    let name = protocol.name();
    let BurstMetrics { in_time, cpu_us, connections, p99_ms, failed } = metrics;
    println!("{name:<10} {in_time:>16.3} {cpu_us:>18.1} {connections:>14.0} {p99_ms:>10.0}");
    if failed > 0 {
        report.failed_check(format!("{name}: {failed} calls were not delivered"));
    }
    Ok(metrics)
}

fn report_medians(protocol: Protocol, runs: &[BurstMetrics], report: &mut Report) {
    let key = protocol.key();
    let median = |of: fn(&BurstMetrics) -> f64| median(runs.iter().map(of));
    report.metric(&format!("{key}_in_time_share"), median(|run| run.in_time));
    report.metric(&format!("{key}_cpu_us_per_call"), median(|run| run.cpu_us));
    report.metric(&format!("{key}_connections_count"), median(|run| run.connections));
    report.metric(&format!("{key}_p99_ms"), median(|run| run.p99_ms));
}

fn report_goaways(report: &mut Report) -> Result<(), BenchmarkError> {
    let mut times = LocalSet::new().block_on(&current_thread_runtime()?, goaway::run())?;
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "GOAWAY to the next response: median {median:.1} ms, maximum of {} {worst:.1} ms, objective \
         {GOAWAY_OBJECTIVE_MS} ms",
        times.len()
    );
    report.metric("goaway_to_answer_median_ms", median);
    report.metric("goaway_to_answer_worst_ms", worst);
    Ok(())
}

fn current_thread_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
