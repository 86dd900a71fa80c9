//! Everything around a sender in tests and measurements: fake receivers, discovery services, clients and links with
//! faults, all on loopback and driven by scenarios and seeds; clusters of sender processes; and the checker of the six
//! rules, which believes only what the fakes recorded.
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
mod line_body;
mod listen;
pub mod program;
pub mod scenario;
pub mod scripted_peers;
pub mod test_environment;
pub mod usage;
