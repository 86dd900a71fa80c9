//! The sender as a program: its environment variables, its log and its signals.
//!
//! A library, so that another program can also run as a sender: the demo executes itself as one.
//!
//! ```no_run
//! // With RELAY_CONFIG and RELAY_STATE set:
//! fn main() -> std::process::ExitCode {
//!     rudderspindle::main()
//! }
//! ```

mod environment;
mod inherited_listener;
mod logging;
mod signals;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use rudderspindle_sender::{FleetFileError, Service, StartError, ValidatedConfig};
use tokio::task::LocalSet;

use crate::environment::EnvironmentError;
use crate::inherited_listener::InheritedListenerError;
use crate::signals::Signals;

/// Why the program ended with a failure.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Environment(#[from] EnvironmentError),
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
}

/// Runs a sender until it has shut down after SIGTERM. A failure is logged as one line.
pub fn main() -> ExitCode {
    logging::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("rudderspindle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ProgramError> {
    inherited_listener::execute_again_if_inherited()?;
    let config_path = environment::config_path()?;
    let state_folder = environment::state_folder()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config_path, &state_folder))
}

async fn serve(config_path: PathBuf, state_folder: &Path) -> Result<(), ProgramError> {
    // First: without a handler a signal ends the process.
    let signals = Signals::register()?;
    let config = read_config(&config_path)?;
    let fleet = config.fleet().clone();
    let listener = inherited_listener::take_inherited_listener()?;
    let service = Service::start(config, state_folder, listener).await?;
    tracing::info!("listening on {}", service.local_addr());
    signals.handle(config_path, fleet, service.control());
    service.run().await;
    Ok(())
}

/// Reads the configuration, the fleet file and the control address.
fn read_config(path: &Path) -> Result<ValidatedConfig, ProgramError> {
    let config = ValidatedConfig::read(path)?.with_fleet(environment::read_fleet_file()?);
    Ok(match environment::control_address()? {
        Some(address) => config.with_control(address),
        None => config,
    })
}
