//! Test environment for senders, used by tests, benchmarks and the demo: fake receivers, discovery services, clients and
//! faulty links, all on loopback and driven by seeded scenarios; clusters of sender processes; and the checker of the six
//! rules, whose only input is the event log that the fakes write.
//!
//! No shipped crate depends on this crate, and this crate does not depend on the sender.

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
