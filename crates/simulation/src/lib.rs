//! Many policies before one receiver, stepped in simulated time, for tests and benchmarks.
//!
//! A [`Scene`](partner::Scene) says how many senders there are, what the receiver's limit is and what outage it has;
//! [`play`](partner::play) runs the real [`Policy`](rudderspindle_policy::Policy) of each sender and counts the calls
//! that reach the receiver. All random draws come from the scene's seed, so a scene always gives the same figures.
//! There is no I/O and no clock here, and no program that ships depends on this package.
#![forbid(unsafe_code)]

pub mod leased;
pub mod lists;
pub mod partner;
pub mod parts;
