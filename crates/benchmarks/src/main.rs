//! The project's benchmarks, one subcommand each.
//!
//! Each prints a table and, as its last line, one JSON object. Exit status 0: all checks passed; 1: a check failed;
//! 2: the benchmark could not run.

mod evening;
mod fleet_limit;
mod fleet_list;
mod http2;
mod load;
mod relay;
mod report;
mod statistics;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use tokio::runtime::{Builder, Runtime};

use report::Report;

/// Measures senders against stand-ins, all on loopback.
#[derive(Debug, Parser)]
#[command(name = "rig")]
struct Arguments {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Debug, Subcommand)]
enum Benchmark {
    /// An evening against two sender processes, with troubles drawn from the seed, judged.
    Evening {
        #[command(flatten)]
        common: CommonArguments,
        /// Plays only seeds that draw this; others are passed over and count for no round.
        #[arg(long)]
        having: Option<evening::Having>,
        /// So many are played side by side; one whose stand-ins were late is played again.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        jobs: u16,
    },
    /// What a message costs the sender on one core, beside a bare relay.
    Load {
        #[command(flatten)]
        common: CommonArguments,
        #[command(flatten)]
        load: load::LoadArguments,
    },
    /// Many senders before one partner's limit, in simulated time: use, refusals, the hardest push when it is cold.
    FleetLimit {
        #[command(flatten)]
        common: CommonArguments,
        #[command(flatten)]
        fleet: fleet_limit::FleetArguments,
    },
    /// Many senders that start together before one discovery, in simulated time: when each has its list.
    FleetList {
        #[command(flatten)]
        common: CommonArguments,
        #[command(flatten)]
        fleet: fleet_list::ListArguments,
    },
    /// Bursts to one partner over HTTP/2 and over HTTP/1.1, in turn, and how soon a call is answered after a GOAWAY.
    Http2 {
        #[command(flatten)]
        common: CommonArguments,
        #[command(flatten)]
        bursts: http2::Http2Arguments,
    },
    /// The bare relay that `load` measures; prints where it listens.
    #[command(hide = true)]
    Relay {
        /// Where messages go, by the number of their destination.
        #[arg(value_delimiter = ',')]
        to: Vec<std::net::SocketAddr>,
    },
}

/// Arguments of every benchmark.
#[derive(Clone, Debug, Args)]
struct CommonArguments {
    /// Decides everything that chance decides; drawn and printed if not given.
    #[arg(long)]
    seed: Option<u64>,
    /// How often it is played; each round takes the next seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    rounds: u64,
    /// How long clients come in each round.
    #[arg(long, value_parser = clap::value_parser!(u16).range(5..=3_600))]
    seconds: Option<u16>,
    /// Also writes the JSON object to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The sender's program; else the one beside this program.
    #[arg(long)]
    sender: Option<PathBuf>,
    /// Keeps the evidence, configurations and logs in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Why a benchmark could not run.
#[derive(Debug, thiserror::Error)]
enum BenchmarkError {
    /// A file, a socket or a process failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The test environment could not be set up.
    #[error("{0}")]
    TestEnvironment(#[from] rudderspindle_testkit::test_environment::EnvironmentError),
    /// The sender's program was not found, or did not listen.
    #[error(
        "there is no sender beside this program: build it with `cargo build --release`, or name it with --sender"
    )]
    NoSender,
    /// The relay did not start.
    #[error("the relay did not say where it listens")]
    NoRelay,
}

impl CommonArguments {
    /// The seed, or an arbitrary one.
    fn seed(&self) -> u64 {
        self.seed.unwrap_or_else(|| {
            let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since_epoch.map_or(1, |time| u64::from(time.subsec_nanos()))
        })
    }

    /// The path of the sender's program.
    fn sender(&self) -> Result<PathBuf, BenchmarkError> {
        let path =
            self.sender.clone().or_else(rudderspindle_testkit::test_environment::program_beside_this_one);
        path.filter(|path| path.is_file()).ok_or(BenchmarkError::NoSender)
    }
}

/// Runs a benchmark and prints its report; whether all checks passed.
fn run(benchmark: &Benchmark) -> Result<bool, BenchmarkError> {
    let (report, common): (Report, &CommonArguments) = match benchmark {
        Benchmark::Evening { common, having, jobs } => {
            (multi_thread_runtime()?.block_on(evening::run(common, *having, *jobs))?, common)
        }
        Benchmark::Load { common, load } => {
            (multi_thread_runtime()?.block_on(load::run(common, load))?, common)
        }
        Benchmark::FleetLimit { common, fleet } => (fleet_limit::run(common, fleet), common),
        Benchmark::FleetList { common, fleet } => (fleet_list::run(common, fleet), common),
        Benchmark::Http2 { common, bursts } => (http2::run(common, bursts)?, common),
        Benchmark::Relay { to } => return Ok(relay::run(to).map(|()| true)?),
    };
    Ok(report.print(common.json.as_deref())?)
}

fn multi_thread_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(2).enable_all().build()
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments.benchmark) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rig: {error}");
            ExitCode::from(2)
        }
    }
}
