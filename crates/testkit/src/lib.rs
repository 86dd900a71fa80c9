//! The environment of a sender in tests and benchmarks: fake receivers, discovery services, clients and links with faults,
//! all on loopback and driven by scenarios and seeds; clusters of sender processes; and the checker of the six rules, which
//! reads only what the fakes recorded.
//!
//! No shipped crate depends on this one, and it does not depend on the sender.

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
