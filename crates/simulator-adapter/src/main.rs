//! Runs many senders' policies on a simulator's wire: batches on standard input, replies on standard output.
//!
//! Exit status 0 at the end of input; 1 with one line on standard error if the input is malformed.
#![forbid(unsafe_code)]

mod frame;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use thiserror::Error;

use frame::ReadBatchError;
use host::{Host, HostError};

/// Capacity of the buffer before standard input, in bytes.
const INPUT_BUFFER_LEN: usize = 1 << 16;

/// Why the program stopped before the end of input.
#[derive(Debug, Error)]
enum RunError {
    /// The next batch could not be read.
    #[error(transparent)]
    Read(#[from] ReadBatchError),
    /// A batch could not be answered.
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
    let mut input = BufReader::with_capacity(INPUT_BUFFER_LEN, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let number = batch.number;
        let reply = host.answer(batch)?;
        output.write_all(&reply.to_bytes(number))?;
        output.flush()?;
    }
    Ok(())
}
