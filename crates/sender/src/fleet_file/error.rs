//! Errors of the operator's fleet file.

use std::io;
use std::path::{Path, PathBuf};

/// Why the fleet file is rejected; displayed as one line that begins with the path of the file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetFileError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// The file is not TOML, or has an unknown key or a value of another type.
    #[error("{path}, line {line}: {}", one_line(.error))]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The line number, counted from 1.
        line: usize,
        /// The parser's error.
        #[source]
        error: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{path}: {key} is {value}: must be {expected}")]
    OutOfRange {
        /// The path of the file.
        path: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// The received value, in words.
        value: String,
        /// The valid values, in words; completes the sentence "must be ...".
        expected: &'static str,
    },
}

impl FleetFileError {
    /// The error for a text that the parser rejects, with the line number of `error`.
    pub(super) fn malformed(path: &Path, text: &str, error: toml::de::Error) -> Self {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        Self::Malformed { path: path.to_owned(), line, error: Box::new(error) }
    }
}

fn one_line(error: &toml::de::Error) -> String {
    error.message().replace('\n', " ")
}
