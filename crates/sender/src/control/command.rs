//! Commands of the control protocol; each is one line.

use std::str::FromStr;

use crate::admission_state::AdmissionState;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Reports whether this process can serve, which it cannot while it is stopping.
    Status,
    /// Reports the metrics.
    Stats,
    /// Accepts clients (`active`) or drains them (`standby`).
    SetAdmission(AdmissionState),
}

/// The received line is not a command.
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
    /// Parses a received line, which must include its line end.
    ///
    /// # Errors
    ///
    /// [`UnknownCommand`] if the line end is missing, or the line is not UTF-8 or not a command.
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
