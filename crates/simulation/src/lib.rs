//! Many policies before one receiver in simulated time, for tests and benchmarks.
//!
//! A [`Scenario`](receiver::Scenario) sets the number of senders, the receiver's limit and its outage;
//! [`simulate`](receiver::simulate) runs the real [`Policy`](rudderspindle_policy::Policy) of each sender and counts the
//! calls that reach the receiver. All random draws come from the scenario's seed, so a scenario always gives the same
//! result. There is no I/O and no clock here, and no program that ships depends on this package.
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]

pub mod fixtures;
pub mod limit_schemes;
pub mod list_polling;
mod permit_datagrams;
pub mod receiver;
mod rng;

pub use rng::SeededRng;
