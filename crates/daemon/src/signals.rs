//! Signals: SIGHUP reloads the configuration, SIGTERM shuts down gracefully.

use std::path::{Path, PathBuf};

use rudderspindle_sender::{Control, FleetFile, FleetFileError, StartError, ValidatedConfig};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::environment::read_fleet_file;

/// Registered signal handlers: these signals no longer end the process.
#[derive(Debug)]
pub(crate) struct Signals {
    hangup: Signal,
    terminate: Signal,
}

/// Why a configuration cannot be applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] StartError),
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
}

impl Signals {
    /// Registers the handlers.
    ///
    /// # Errors
    ///
    /// What the operating system reports.
    pub fn register() -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { hangup, terminate })
    }

    /// Handles signals in two tasks, which end with the current `LocalSet`. `active_fleet` is the fleet file that the
    /// service was started with.
    pub fn handle(self, config_path: PathBuf, active_fleet: FleetFile, control: Control) {
        spawn_local(reload_on_hangup(self.hangup, config_path, active_fleet, control.clone()));
        spawn_local(stop_on_terminate(self.terminate, control));
    }
}

/// Reads both files on each SIGHUP, and changes nothing unless both are valid. The configuration's `discovery` takes
/// effect at once, the fleet file at the next start.
async fn reload_on_hangup(
    mut hangup: Signal,
    config_path: PathBuf,
    active_fleet: FleetFile,
    control: Control,
) {
    while hangup.recv().await.is_some() {
        match read_files(&config_path) {
            Ok(config) => {
                if *config.fleet() != active_fleet {
                    tracing::info!(target: "fleet", "fleet file changed; it takes effect at the next start");
                }
                tracing::info!(discovery = %config.discovery(), "configuration reloaded");
                control.configure(&config);
            }
            Err(error) => tracing::error!(%error, "configuration not reloaded"),
        }
    }
}

/// Reads the configuration and the fleet file.
fn read_files(config_path: &Path) -> Result<ValidatedConfig, ReloadError> {
    let config = ValidatedConfig::read(config_path)?;
    Ok(config.with_fleet(read_fleet_file()?))
}

/// Shuts the service down on SIGTERM.
async fn stop_on_terminate(mut terminate: Signal, control: Control) {
    terminate.recv().await;
    tracing::info!("stopping");
    control.stop().await;
}
