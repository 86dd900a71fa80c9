//! One partner's limit, shared by many senders without a leader.
//!
//! Each sender of hundreds sees too little of a partner to know what the others do to it. So each tells, a few times a
//! second, what it wants of every gate (a partner's limit, or that of a route apart), what it called, what was
//! refused and what failed; whoever is told answers with the sums over all that told it lately. From the sums each sender works out by
//! itself how much of the limit there is for a call that it wants. Nobody decides for another: who sums is
//! the first of an order that all draw alike and that answers, and any other does as well.
//!
//! No I/O and no clock: [`Fleet`] is given the time and the datagrams, and says which to send.
#![forbid(unsafe_code)]

mod fleet;
mod gate;
mod note;
mod room;
mod sums;

pub use fleet::{Fleet, Letter, Own, ROUND};
pub use gate::Gate;
pub use note::{LONGEST_NOTE, NoteError};
pub use room::{Flow, Room};
pub use sums::{Ramp, Sum};
