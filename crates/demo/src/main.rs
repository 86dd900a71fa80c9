//! Runs the main job in one command: two senders, four receivers in two zones, a platform and clients, on loopback.
//!
//! One receiver has an outage, one endpoint drains, and one sender is killed and restarted. At the end the checker
//! reports what became of each message. Exit status 0: all rules were kept; 1: a message was lost or duplicated, or
//! another rule was violated; 2: the demo could not run.

mod arguments;
mod html_report;
mod incident;
mod process_signals;
mod progress;
mod run;
mod statistics;
mod terminal;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::{Builder, Runtime};

use arguments::Arguments;
use run::DemoError;

/// The argument that makes this program a sender.
const SENDER_ARGUMENT: &str = "sender";

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(SENDER_ARGUMENT) {
        return rudderspindle::main();
    }
    match run_demo(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rudderspindle-demo: {error}");
            ExitCode::from(2)
        }
    }
}

fn run_demo(arguments: &Arguments) -> Result<bool, DemoError> {
    multi_thread_runtime()?.block_on(run::run(arguments))
}

fn multi_thread_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(2).enable_all().build()
}
