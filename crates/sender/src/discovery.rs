//! Client of the discovery service: keeps the engine's endpoint list up to date.

mod client;
mod decoder;
mod error;
mod session;
mod watcher;

#[cfg(test)]
mod tests;

pub use client::fetch;
pub use watcher::watch;

/// Log target of the requests to discovery, the received lists and the errors.
const LOG_TARGET: &str = "discovery";
