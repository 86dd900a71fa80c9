//! The hottest streams of the fleet, from what each sender is handed.
//!
//! Invariant: what is read of a key is an interval, and what the fleet was handed of it lies inside, whoever was not
//! heard and in whatever order, however often and however late notes came.
//!
//! One sender of hundreds sees a call or two of a stream that is a storm in sum. So each counts what it is handed in a
//! [`SpaceSaving`] for each pane of the shared clock, and tells closed panes to the one that adds up
//! ([`Digest`]); that one keeps them in registers by sender and pane ([`Merged`]) and answers with the heaviest of
//! all ([`Answer`]), which each reads as a [`View`] and judges by itself ([`Judge`]). [`Hottest`] is all of it for one
//! sender. [`max_min`] says what of a limit is a stream's fair part.
//!
//! No I/O and no clock: time is passed in as milliseconds of the shared wall clock, notes as bytes. It knows nothing of
//! partners' limits, messages or sockets; streams and idempotency keys reach it as keyed hashes ([`Names`]).
#![forbid(unsafe_code)]

mod adder;
mod again;
mod answer;
mod digest;
mod error;
mod fair;
mod hot;
mod hottest;
mod merged;
mod panes;
mod rounds;
mod settings;
mod sketch;
mod streams;
mod teller;
mod view;
mod wire;

#[cfg(test)]
mod tests;

pub use again::{Repeated, repeated};
pub use answer::{Answer, Heaviest, Sum, Yours};
pub use digest::{Digest, Listed};
pub use error::HotError;
pub use fair::{beyond, max_min};
pub use hot::Judge;
pub use hottest::{Hottest, Letter};
pub use merged::{Merged, Sums, Table};
pub use panes::{Pane, Panes};
pub use rounds::{ROUND_MS, adders};
pub use settings::{PANES, Settings, SettingsError};
pub use sketch::{Counted, SpaceSaving};
pub use streams::{Key, Names};
pub use view::{Interval, View};
pub use wire::LONGEST_BODY;
