//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// Runs two senders against four receivers with injected faults, and checks what became of each message.
#[derive(Debug, Parser)]
#[command(name = "rudderspindle-demo")]
pub struct Arguments {
    /// Writes the run as a self-contained HTML page.
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
    /// Runs this scenario in place of the built-in one.
    #[arg(long, alias = "script", value_name = "FILE.toml")]
    pub scenario: Option<PathBuf>,
}

#[cfg(test)]
mod tests;
