//! Why a benchmark could not run.

use std::io;

use rudderspindle_testkit::test_environment::EnvironmentError;

/// Why a benchmark could not run.
#[derive(Debug, thiserror::Error)]
pub enum BenchmarkError {
    /// A file, a socket or a process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The test environment could not be set up.
    #[error("{0}")]
    TestEnvironment(#[from] EnvironmentError),
    /// The sender's program was not found, or did not listen.
    #[error(
        "there is no sender beside this program: build it with `cargo build --release`, or name it with --sender"
    )]
    NoSender,
    /// The relay did not start.
    #[error("the relay did not print its address")]
    NoRelay,
}
