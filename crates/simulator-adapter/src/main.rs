//! Runs the policies of many simulated senders: reads batches from standard input, writes replies to standard output.
//!
//! Exits with status 0 at the end of input, and with status 1 and one line on standard error after an error.
#![forbid(unsafe_code)]

mod frame;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use thiserror::Error;

use frame::ReadBatchError;
use host::{Host, HostError};

/// Capacity of the buffer for standard input, in bytes.
const INPUT_BUFFER_CAPACITY: usize = 1 << 16;

/// Why the program stopped before the end of input.
#[derive(Debug, Error)]
enum RunError {
    /// The next batch could not be read.
    #[error(transparent)]
    Read(#[from] ReadBatchError),
    /// A batch could not be handled.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The reply could not be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rudderspindle-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), RunError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_CAPACITY, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let batch_number = batch.number;
        let reply = host.handle_batch(batch)?;
        output.write_all(&reply.to_bytes(batch_number))?;
        output.flush()?;
    }
    Ok(())
}
