//! The configuration: its file, validated, and the settings of the policy.

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

/// A validated configuration, with the settings of the policy.
#[derive(Debug)]
pub struct ValidatedConfig {
    pub(crate) config: Config,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) fleet: FleetFile,
}

impl ValidatedConfig {
    /// Reads and validates a configuration.
    ///
    /// # Errors
    ///
    /// [`StartError`] names the file, or the key that is missing or out of range.
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
        // Last, so that a configuration that is rejected is logged by its error alone.
        if let Some(warning) = fleet_size.warning {
            tracing::warn!(reason = %warning, senders = fleet_size.senders, "number of senders is ambiguous");
        }
        Ok(Self { config, settings, names, fleet: FleetFile::default() })
    }

    /// Replaces the address of the control listener.
    #[must_use]
    pub fn with_control(mut self, control: SocketAddr) -> Self {
        self.config.control = Some(control);
        self
    }

    /// Replaces the fleet file.
    #[must_use]
    pub fn with_fleet(mut self, fleet: FleetFile) -> Self {
        self.fleet = fleet;
        self
    }

    /// The fleet file; its defaults if there is none.
    pub fn fleet(&self) -> &FleetFile {
        &self.fleet
    }

    /// The address of the platform, for discovery and notifications.
    pub fn discovery(&self) -> SocketAddr {
        self.config.discovery
    }
}

fn read_json(path: &Path) -> Result<Value, StartError> {
    let text =
        std::fs::read(path).map_err(|error| StartError::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_slice(&text).map_err(|error| StartError::Malformed { path: path.to_owned(), error })
}

/// Rejects classes that are delivered in order: the protocol has no ordering key.
fn reject_ordered_classes(settings: &Settings, names: &Names) -> Result<(), StartError> {
    let mut classes = names.classes.iter().zip(&settings.classes);
    match classes.find(|(_, class)| class.ordered) {
        Some((name, _)) => Err(StartError::Ordered(name.clone())),
        None => Ok(()),
    }
}

/// The number of senders by `settings.peers_total`, if it is configured, and by `peers`.
fn fleet_size(config: &Config, settings: &Settings) -> FleetSize {
    let is_configured = config.settings.get("peers_total").is_some_and(|value| !value.is_null());
    FleetSize::new(is_configured.then_some(settings.peers_total), config.peers.len())
}
