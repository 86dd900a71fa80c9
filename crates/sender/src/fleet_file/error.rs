//! Errors of the operator's fleet file.

use std::io;
use std::path::{Path, PathBuf};

/// Why the fleet file cannot be used; displayed as one line that names the file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetFileError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// The file is not TOML, or has an unknown key or a value of another type.
    #[error("{path}, line {line}: {}", one_line(.error))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, from 1 on.
        line: usize,
        /// The cause.
        #[source]
        error: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{path}: {key} is {value}; {expected} is wanted")]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: String,
        /// The values that are accepted.
        expected: &'static str,
    },
}

impl FleetFileError {
    /// A parser's error with its line.
    pub(super) fn malformed(path: &Path, text: &str, error: toml::de::Error) -> Self {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        Self::Malformed { path: path.to_owned(), line, error: Box::new(error) }
    }
}

fn one_line(error: &toml::de::Error) -> String {
    error.message().replace('\n', " ")
}
