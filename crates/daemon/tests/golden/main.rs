//! The bytes that the program exchanges with its peers, and its log lines, compared with golden files.
//!
//! Whole texts are compared. Values that differ from run to run are replaced by named placeholders first, and only if
//! they have exactly the expected form.

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
