//! Reads and writes event logs as JSON lines.

use std::io::{BufRead, Write};

use super::{Event, Line, VERSION};

/// Error of reading an event log.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A line is not valid JSON of the format.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, counted from 1.
        line: usize,
        /// The cause, which names the column.
        error: serde_json::Error,
    },
    /// The first line is not a header of the supported version.
    #[error("line 1: must be the header (`ev` is `world`) of a log of version {VERSION}")]
    Version,
}

/// Reads an event log. Blank lines are skipped.
///
/// # Errors
///
/// [`ReadError`] names the line that is invalid.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, ReadError> {
    let mut lines = Vec::new();
    for (index, text) in from.lines().enumerate() {
        let text = text?;
        if text.trim().is_empty() {
            continue;
        }
        let line = serde_json::from_str(&text).map_err(|error| ReadError::Line { line: index + 1, error })?;
        lines.push(line);
    }
    match lines.first() {
        Some(Line { event: Event::Header { v: VERSION, .. }, .. }) => Ok(lines),
        _ => Err(ReadError::Version),
    }
}

/// Writes an event log, one event a line.
///
/// # Errors
///
/// The error of the writer.
pub fn write(lines: &[Line], mut to: impl Write) -> std::io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}
