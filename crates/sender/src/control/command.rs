//! Commands of the control protocol: one line each.

use std::str::FromStr;

use crate::admission_state::AdmissionState;

/// What an operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Whether this process can serve.
    Status,
    /// The metrics.
    Stats,
    /// Accept clients, or drain.
    SetAdmission(AdmissionState),
}

/// A line that is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("one line of status, stats, standby or active is wanted")]
pub(super) struct UnknownCommand;

impl FromStr for Command {
    type Err = UnknownCommand;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        match line.trim() {
            "status" => Ok(Self::Status),
            "stats" => Ok(Self::Stats),
            "standby" => Ok(Self::SetAdmission(AdmissionState::Drained)),
            "active" => Ok(Self::SetAdmission(AdmissionState::Accepting)),
            _ => Err(UnknownCommand),
        }
    }
}

impl Command {
    /// Parses a received line, which must be complete.
    ///
    /// # Errors
    ///
    /// [`UnknownCommand`] if the line has no end, is not UTF-8 or names no command.
    pub(super) fn parse(line: &[u8]) -> Result<Self, UnknownCommand> {
        let line = std::str::from_utf8(line).map_err(|_| UnknownCommand)?;
        if !line.ends_with('\n') {
            return Err(UnknownCommand);
        }
        line.parse()
    }
}

#[cfg(test)]
mod tests;
