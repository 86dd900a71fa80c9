//! Reads scenarios from TOML.

use std::path::{Path, PathBuf};

use super::Scenario;
use super::validation::ValidationError;

/// Error of reading a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not valid TOML, or a value is out of range. The cause names the line and the field.
    #[error("{path}: {error}")]
    Toml {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        error: Box<toml::de::Error>,
    },
    /// A field is outside its range or contradicts another field.
    #[error("{path}: {error}")]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The field and the cause.
        error: ValidationError,
    },
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`] names the file and the field, and the line for an error in the TOML.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Io { path: path.to_owned(), error })?;
        Self::parse(&text, path)
    }

    /// Parses the text of a scenario file. `path` is only used to name the file in errors.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`], as for [`Scenario::read`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)
            .map_err(|error| ScenarioError::Toml { path: path.to_owned(), error: Box::new(error) })?;
        scenario.validate().map_err(|error| ScenarioError::Invalid { path: path.to_owned(), error })?;
        Ok(scenario)
    }
}
