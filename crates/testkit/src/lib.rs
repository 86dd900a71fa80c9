//! What stands round a sender in tests and measurements: partners, the platform's agent, clients and links, all
//! on loopback, each driven by a script and a seed; and the judge of the six rules, which believes them alone.
//!
//! Nothing that ships depends on this crate, and it knows nothing of how the sender works.

pub mod checker;
pub mod client;
pub mod cluster;
pub mod datagram_proxy;
pub mod event_log;
pub mod fake_discovery;
pub mod fake_receiver;
pub mod fault_proxy;
pub mod fault_schedule;
pub mod frames;
mod listen;
pub mod program;
pub mod scenario;
pub mod scripted_peers;
pub mod test_environment;
pub mod usage;
