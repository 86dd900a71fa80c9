//! Many decision modules before one partner, stepped in simulated time.
//!
//! A [`Scene`](partner::Scene) says how many senders there are, what the partner takes and what strikes it;
//! [`play`](partner::play) hands the real [`Policy`](rudderspindle_policy::Policy)s their events and counts what reaches the
//! partner. The seed decides all that chance decides. No I/O, no clock, nothing that ships depends on it.
#![forbid(unsafe_code)]

pub mod leased;
pub mod lists;
pub mod partner;
pub mod parts;
