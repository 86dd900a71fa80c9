//! What stands round a sender in tests and measurements: partners, the platform's agent, clients and links, all
//! on loopback, each driven by a script and a seed; and the judge of the six rules, which believes them alone.
//!
//! Nothing that ships depends on this crate, and it knows nothing of how the sender works.

pub mod agent;
pub mod client;
pub mod evidence;
pub mod exact;
pub mod frames;
pub mod judge;
pub mod link;
mod listen;
pub mod mesh;
pub mod partner;
pub mod program;
pub mod script;
pub mod tier;
pub mod usage;
pub mod weather;
pub mod world;
