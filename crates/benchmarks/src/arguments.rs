//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Parser, Subcommand};
use rudderspindle_testkit::test_environment::program_beside_this_one;

use crate::error::BenchmarkError;
use crate::fleet_limit::FleetArguments;
use crate::fleet_list::ListArguments;
use crate::http2::Http2Arguments;
use crate::load::LoadArguments;
use crate::scenario::ScenarioArguments;

/// Measures senders against fakes of everything around them, on loopback or in simulated time.
#[derive(Debug, Parser)]
#[command(name = "rudderspindle-bench")]
pub struct Arguments {
    /// The benchmark to run.
    #[command(subcommand)]
    pub benchmark: Benchmark,
}

/// The benchmarks.
#[derive(Debug, Subcommand)]
pub enum Benchmark {
    /// Runs random scenarios with injected faults against two sender processes, and checks the delivery rules.
    #[command(alias = "evening")]
    Scenario {
        /// Arguments of every benchmark.
        #[command(flatten)]
        common: CommonArguments,
        /// Which scenarios are run, and how.
        #[command(flatten)]
        scenario: ScenarioArguments,
    },
    /// Measures the CPU cost of a message on one core, compared with a minimal relay.
    Load {
        /// Arguments of every benchmark.
        #[command(flatten)]
        common: CommonArguments,
        /// The load.
        #[command(flatten)]
        load: LoadArguments,
    },
    /// Simulates a fleet before one rate limit: utilization, rejections, and the peak load during a recovery.
    FleetLimit {
        /// Arguments of every benchmark.
        #[command(flatten)]
        common: CommonArguments,
        /// The fleet and the limit.
        #[command(flatten)]
        fleet: FleetArguments,
    },
    /// Simulates a fleet that starts at once before one discovery service: when each sender has its endpoint list.
    FleetList {
        /// Arguments of every benchmark.
        #[command(flatten)]
        common: CommonArguments,
        /// The fleet and its discovery service.
        #[command(flatten)]
        fleet: ListArguments,
    },
    /// Compares bursts of calls over HTTP/2 and HTTP/1.1, and measures the time from a GOAWAY to the next response.
    Http2 {
        /// Arguments of every benchmark.
        #[command(flatten)]
        common: CommonArguments,
        /// The bursts and the receiver.
        #[command(flatten)]
        bursts: Http2Arguments,
    },
    /// Runs the relay that `load` compares with; prints its address.
    #[command(hide = true)]
    Relay {
        /// Addresses of the destinations, in the order of their numbers.
        #[arg(value_delimiter = ',')]
        destinations: Vec<SocketAddr>,
    },
}

/// Arguments of every benchmark.
#[derive(Clone, Debug, Args)]
pub struct CommonArguments {
    /// Seed of all random choices; drawn and printed if not given.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Number of rounds; each takes the next seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub rounds: u64,
    /// Duration of each round's load, seconds.
    #[arg(long, value_parser = clap::value_parser!(u16).range(5..=3_600))]
    pub seconds: Option<u16>,
    /// Also writes the JSON object to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// The sender's program, by default `rudderspindle` in this program's folder.
    #[arg(long)]
    pub sender: Option<PathBuf>,
    /// Keeps event logs, configurations and process logs in this folder.
    #[arg(long)]
    pub keep: Option<PathBuf>,
}

impl CommonArguments {
    /// The seed, or one from the clock.
    pub fn seed(&self) -> u64 {
        self.seed.unwrap_or_else(|| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            since_epoch.map_or(1, |time| u64::from(time.subsec_nanos()))
        })
    }

    /// The path of the sender's program.
    pub fn sender(&self) -> Result<PathBuf, BenchmarkError> {
        let path = self.sender.clone().or_else(program_beside_this_one);
        path.filter(|path| path.is_file()).ok_or(BenchmarkError::NoSender)
    }
}

#[cfg(test)]
mod tests;
