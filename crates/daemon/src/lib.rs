//! One real sender as a program: its variables, its log and its signals.
//!
//! A library only so that another program can be a sender, too (the demo starts itself as one):
//!
//! ```no_run
//! // With RELAY_CONFIG and RELAY_STATE set:
//! fn main() -> std::process::ExitCode {
//!     rudderspindle::main()
//! }
//! ```

mod inherited;
mod log;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use rudderspindle_sender::{Control, FleetFile, FleetFileError, Service, StartError, ValidatedConfig};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0} is not set")]
    Unset(&'static str),
    #[error(transparent)]
    AdmissionState(#[from] inherited::DoorError),
    #[error("RELAY_CONTROL is {0:?}, not an address and a port")]
    Control(String),
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("{0}")]
    Runtime(#[from] std::io::Error),
}

/// Runs until SIGTERM has been dealt with; why it could not is one line of the log.
pub fn main() -> ExitCode {
    log::to_standard_error();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("rudderspindle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Error> {
    inherited::translate()?;
    let variable = |name| std::env::var_os(name).map(PathBuf::from).ok_or(Error::Unset(name));
    let (path, state) = (variable("RELAY_CONFIG")?, variable("RELAY_STATE")?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(&path, &state))
}

async fn run(path: &Path, state: &Path) -> Result<(), Error> {
    // Before anything else: until it is heeded, a signal ends the program.
    let hangup = signal(SignalKind::hangup())?;
    let terminate = signal(SignalKind::terminate())?;
    let mut config = ValidatedConfig::read(path)?.with_fleet(fleet()?);
    if let Some(control) = control()? {
        config = config.with_control(control);
    }
    let fleet = config.fleet().clone();
    let service = Service::start(config, state, inherited::door()?).await?;
    tracing::info!("listening on {}", service.local_addr());
    spawn_local(reread(hangup, path.to_owned(), fleet, service.control()));
    spawn_local(stop(terminate, service.control()));
    service.run().await;
    Ok(())
}

/// How senders act together, if the variable names a file of the operator's.
fn fleet() -> Result<FleetFile, FleetFileError> {
    let path = std::env::var_os("RELAY_FLEET").filter(|path| !path.is_empty());
    path.map_or_else(|| Ok(FleetFile::default()), |path| FleetFile::read(Path::new(&path)))
}

/// Where operators call, if the variable says so.
fn control() -> Result<Option<SocketAddr>, Error> {
    let Some(text) = std::env::var_os("RELAY_CONTROL").filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = text.to_string_lossy().into_owned();
    text.parse().map(Some).map_err(|_| Error::Control(text))
}

/// On each SIGHUP both files are read again, and nothing changes unless both can be used. The configuration's `discovery` is
/// in force from then on, the fleet's file from the next start.
async fn reread(mut hangup: Signal, path: PathBuf, in_force: FleetFile, control: Control) {
    while hangup.recv().await.is_some() {
        let read = || Ok::<_, Error>((ValidatedConfig::read(&path)?, fleet()?));
        match read() {
            Ok((config, fleet)) => {
                if fleet != in_force {
                    tracing::info!(target: "fleet", "the fleet's file has changed: in force from the next start");
                }
                tracing::info!("configuration read again: discovery at {}", config.discovery());
                control.configure(&config);
            }
            Err(error) => tracing::error!("configuration left as it was: {error}"),
        }
    }
}

async fn stop(mut terminate: Signal, control: Control) {
    terminate.recv().await;
    tracing::info!("stopping");
    control.stop().await;
}
