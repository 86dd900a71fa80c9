//! The bytes and lines that the program exchanges with its surroundings, compared with files written earlier.
//!
//! Each comparison is of whole texts. What differs from run to run is replaced by a named placeholder first, and only
//! if it has exactly the form that it must have.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod control;
mod discovery;
mod expected;
mod log_errors;
mod log_lines;
mod logged;
mod normalise;
mod notices;
mod receivers;
mod recorder;
