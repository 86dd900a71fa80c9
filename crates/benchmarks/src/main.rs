//! Measurements of the project's own, each a subcommand. The conventions: a table to read, and one JSON object as
//! the very last line; exit status 0 all checks kept, 1 a rule broken or something lost, 2 it could not run.

mod evening;
mod fleet_limit;
mod fleet_list;
mod http2;
mod load;
mod relay;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use report::Report;

/// Measures senders against stand-ins, all on loopback.
#[derive(Debug, Parser)]
#[command(name = "rig")]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// An evening against two sender processes, with troubles drawn from the seed, judged.
    Evening {
        #[command(flatten)]
        common: Common,
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
        common: Common,
        #[command(flatten)]
        load: LoadArguments,
    },
    /// Many senders before one partner's limit, in simulated time: use, refusals, the hardest push when it is cold.
    FleetLimit {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        fleet: fleet_limit::FleetArguments,
    },
    /// Many senders that start together before one discovery, in simulated time: when each has its list.
    FleetList {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        fleet: fleet_list::ListArguments,
    },
    /// Bursts to one partner over HTTP/2 and over HTTP/1.1, in turn, and how soon a call is answered after a GOAWAY.
    Http2 {
        #[command(flatten)]
        common: Common,
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

/// How much load.
#[derive(Clone, Debug, Args)]
struct LoadArguments {
    /// Clients, each with a connection of its own, that hand in as fast as they are answered.
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Destinations, each with one endpoint.
    #[arg(long, default_value_t = 32)]
    destinations: usize,
    /// How long a receiver takes to answer, milliseconds.
    #[arg(long, default_value_t = 0)]
    partner_ms: u16,
    /// Shortest time between two batches, milliseconds; the site fixes 1. Longer hides the price of small batches.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    tick_ms: u16,
}

/// What all subcommands take.
#[derive(Clone, Debug, Args)]
struct Common {
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

/// Why a measurement could not run.
#[derive(Debug, thiserror::Error)]
enum RigError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    TestEnvironment(#[from] rudderspindle_testkit::test_environment::EnvironmentError),
    #[error(
        "there is no sender beside this program: build it with `cargo build --release`, or name it with --sender"
    )]
    NoSender,
    #[error("the relay did not say where it listens")]
    NoRelay,
}

impl Common {
    fn seed(&self) -> u64 {
        self.seed.unwrap_or_else(|| {
            // Any will do: it is printed.
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since.map_or(1, |t| u64::from(t.subsec_nanos()))
        })
    }

    fn sender(&self) -> Result<PathBuf, RigError> {
        let path =
            self.sender.clone().or_else(rudderspindle_testkit::test_environment::program_beside_this_one);
        path.filter(|path| path.is_file()).ok_or(RigError::NoSender)
    }
}

/// Whether all checks were kept.
fn run(what: &What) -> Result<bool, RigError> {
    let runtime = || tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let (report, common): (Report, &Common) = match what {
        What::Evening { common, having, jobs } => {
            (runtime()?.block_on(evening::run(common, *having, *jobs))?, common)
        }
        What::Load { common, load } => (runtime()?.block_on(load::run(common, load))?, common),
        What::FleetLimit { common, fleet } => (fleet_limit::run(common, fleet), common),
        What::FleetList { common, fleet } => (fleet_list::run(common, fleet), common),
        What::Http2 { common, bursts } => (http2::run(common, bursts)?, common),
        What::Relay { to } => return Ok(relay::run(to).map(|()| true)?),
    };
    Ok(report.print(common.json.as_deref())?)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments.what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rig: {error}");
            ExitCode::from(2)
        }
    }
}
