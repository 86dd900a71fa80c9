//! Reads and validates the configuration file, which contains the settings of the policy.

mod file;
mod fleet_size;
mod gossip;
mod limits;
mod start_error;

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::Path;

use rudderspindle_policy::interface::Settings;
use rudderspindle_policy::settings::{self, Names};
use serde_json::Value;

use crate::fleet_file::FleetFile;
use fleet_size::FleetSize;

pub(crate) use file::Config;
pub(crate) use gossip::GossipConfig;
pub use start_error::StartError;

/// A validated configuration file, with the settings of the policy and the fleet file.
#[derive(Debug)]
pub struct ValidatedConfig {
    pub(crate) config: Config,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) fleet: FleetFile,
}

impl ValidatedConfig {
    /// Reads and validates a configuration file. The fleet file has its defaults.
    ///
    /// # Errors
    ///
    /// [`StartError`] names the file that cannot be read, or the key that is missing, of another type or out of range.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let json = read_json(path)?;
        let config = Config::read(&json)?;
        let mut settings = settings::read(&config.settings)?;
        let names = settings::names(&config.settings)?;
        reject_ordered_classes(&settings, &names)?;
        let fleet_size = fleet_size(&config, &settings);
        if fleet_size.senders == 0 {
            return Err(StartError::NoSenders);
        }
        settings.peers_total = fleet_size.senders;
        settings.validate()?;
        // Logged after the last check, so that a rejected configuration is reported by its error alone.
        if let Some(warning) = fleet_size.warning {
            tracing::warn!(reason = %warning, senders = fleet_size.senders, "number of senders is ambiguous");
        }
        Ok(Self { config, settings, names, fleet: FleetFile::default() })
    }

    /// Replaces the address of the control listener, which is the key `control` of the file.
    #[must_use]
    pub fn with_control(mut self, control: SocketAddr) -> Self {
        self.config.control = Some(control);
        self
    }

    /// Sets the fleet file; without it, the defaults apply.
    #[must_use]
    pub fn with_fleet(mut self, fleet: FleetFile) -> Self {
        self.fleet = fleet;
        self
    }

    /// The fleet file; [`FleetFile::default`] if none was set.
    pub fn fleet(&self) -> &FleetFile {
        &self.fleet
    }

    /// The address of the platform, which serves discovery and receives notifications.
    pub fn discovery(&self) -> SocketAddr {
        self.config.discovery
    }
}

fn read_json(path: &Path) -> Result<Value, StartError> {
    let text =
        std::fs::read(path).map_err(|error| StartError::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_slice(&text).map_err(|error| StartError::Malformed { path: path.to_owned(), error })
}

/// Rejects classes that are delivered in order, because requests have no ordering key.
fn reject_ordered_classes(settings: &Settings, names: &Names) -> Result<(), StartError> {
    let mut classes = names.classes.iter().zip(&settings.classes);
    match classes.find(|(_, class)| class.ordered) {
        Some((name, _)) => Err(StartError::Ordered(name.clone())),
        None => Ok(()),
    }
}

/// The number of senders according to `settings.peers_total`, if it is configured, and `peers`.
fn fleet_size(config: &Config, settings: &Settings) -> FleetSize {
    let is_configured = config.settings.get("peers_total").is_some_and(|value| !value.is_null());
    FleetSize::new(is_configured.then_some(settings.peers_total), config.peers.len())
}
