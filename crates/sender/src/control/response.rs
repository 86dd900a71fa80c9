//! Responses of the control protocol.

use std::fmt;

use super::command::UnknownCommand;

/// The response to a command. [`fmt::Display`] writes the response as sent, including the last line end.
#[derive(Debug)]
pub(super) enum Response {
    /// The command was executed.
    Done,
    /// The process is stopping, so it cannot serve, and its admission state does not change.
    Stopping,
    /// The metrics, as one line of JSON.
    Stats(String),
    /// The received line is not a command.
    Unknown(UnknownCommand),
}

impl fmt::Display for Response {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => writeln!(formatter, "done"),
            Self::Stopping => writeln!(formatter, "error stopping"),
            Self::Stats(metrics) => writeln!(formatter, "{metrics}\nend"),
            Self::Unknown(error) => writeln!(formatter, "error: {error}"),
        }
    }
}
