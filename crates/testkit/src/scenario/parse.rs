//! Reads scenarios from TOML.

use std::path::{Path, PathBuf};

use super::Scenario;
use super::validation::Inconsistency;

/// Error of reading a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Cause.
        error: std::io::Error,
    },
    /// The file is not valid TOML, or a figure is out of range; the cause names the line and the field.
    #[error("{path}: {error}")]
    Toml {
        /// The file.
        path: PathBuf,
        /// Cause.
        error: Box<toml::de::Error>,
    },
    /// Fields contradict each other.
    #[error("{path}: {error}")]
    Inconsistent {
        /// The file.
        path: PathBuf,
        /// The field, and what is wrong with it.
        error: Inconsistency,
    },
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`] names the file, the line and the field.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Io { path: path.to_owned(), error })?;
        Self::parse(&text, path)
    }

    /// Parses a scenario's text; errors name `path`.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)
            .map_err(|error| ScenarioError::Toml { path: path.to_owned(), error: Box::new(error) })?;
        scenario.validate().map_err(|error| ScenarioError::Inconsistent { path: path.to_owned(), error })?;
        Ok(scenario)
    }
}
