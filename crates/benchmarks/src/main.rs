//! The project's benchmarks, one subcommand each.
//!
//! Each prints a table and, as its last line, one JSON object. Exit status 0: all checks passed; 1: a check failed;
//! 2: the benchmark could not run.

mod arguments;
mod error;
mod fleet_limit;
mod fleet_list;
mod http1_pool;
mod http2;
mod load;
mod median;
mod relay;
mod report;
mod scenario;
mod tcp;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::{Builder, Runtime};

use arguments::{Arguments, Benchmark, CommonArguments};
use error::BenchmarkError;
use report::Report;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments.benchmark) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rudderspindle-bench: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a benchmark and prints its report; whether all checks passed.
fn run(benchmark: &Benchmark) -> Result<bool, BenchmarkError> {
    match benchmark {
        Benchmark::Scenario { common, scenario } => {
            let report = multi_thread_runtime()?.block_on(scenario::run(common, scenario))?;
            print(report, common)
        }
        Benchmark::Load { common, load } => {
            let report = multi_thread_runtime()?.block_on(load::run(common, load))?;
            print(report, common)
        }
        Benchmark::FleetLimit { common, fleet } => print(fleet_limit::run(common, fleet), common),
        Benchmark::FleetList { common, fleet } => print(fleet_list::run(common, fleet), common),
        Benchmark::Http2 { common, bursts } => print(http2::run(common, bursts)?, common),
        Benchmark::Relay { destinations } => Ok(relay::run(destinations).map(|()| true)?),
    }
}

fn print(report: Report, common: &CommonArguments) -> Result<bool, BenchmarkError> {
    Ok(report.print(common.json.as_deref())?)
}

fn multi_thread_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(2).enable_all().build()
}
