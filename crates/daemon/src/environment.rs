//! The environment variables that name the program's files and its control address.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rudderspindle_sender::{FleetFile, FleetFileError};

/// The configuration file.
const CONFIG: &str = "RELAY_CONFIG";
/// The folder of the journal and the other persistent state.
const STATE: &str = "RELAY_STATE";
/// The fleet file; optional.
const FLEET: &str = "RELAY_FLEET";
/// The address of the control listener; optional.
const CONTROL: &str = "RELAY_CONTROL";

/// Errors of the environment variables.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EnvironmentError {
    /// A required variable is not set.
    #[error("{0} is not set")]
    NotSet(&'static str),
    /// The control address cannot be parsed.
    #[error("{CONTROL} is {0:?}, not an address and a port")]
    InvalidControlAddress(String),
}

/// The configuration file.
///
/// # Errors
///
/// [`EnvironmentError::NotSet`].
pub(crate) fn config_path() -> Result<PathBuf, EnvironmentError> {
    required_path(CONFIG)
}

/// The folder of the persistent state.
///
/// # Errors
///
/// [`EnvironmentError::NotSet`].
pub(crate) fn state_folder() -> Result<PathBuf, EnvironmentError> {
    required_path(STATE)
}

/// Reads the fleet file that the variable names; the defaults if it is not set.
///
/// # Errors
///
/// [`FleetFileError`] if the file cannot be used.
pub(crate) fn read_fleet_file() -> Result<FleetFile, FleetFileError> {
    match non_empty_variable(FLEET) {
        Some(path) => FleetFile::read(Path::new(&path)),
        None => Ok(FleetFile::default()),
    }
}

/// The address of the control listener; `None` if the variable is not set.
///
/// # Errors
///
/// [`EnvironmentError::InvalidControlAddress`].
pub(crate) fn control_address() -> Result<Option<SocketAddr>, EnvironmentError> {
    let Some(value) = non_empty_variable(CONTROL) else { return Ok(None) };
    let text = value.to_string_lossy().into_owned();
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(EnvironmentError::InvalidControlAddress(text)),
    }
}

/// A variable that is set and not empty.
pub(crate) fn non_empty_variable(name: &str) -> Option<OsString> {
    std::env::var_os(name).filter(|value| !value.is_empty())
}

fn required_path(name: &'static str) -> Result<PathBuf, EnvironmentError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(EnvironmentError::NotSet(name))
}
