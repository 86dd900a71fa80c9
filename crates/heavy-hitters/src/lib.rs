//! Detects heavy hitters: the streams with the most messages that a fleet of senders accepts.
//!
//! Invariant: the count of a key is given as an interval that contains the number of messages that the fleet
//! accepted, even if senders do not report or datagrams are lost, reordered, duplicated or delayed.
//!
//! A single sender sees only a few messages of a stream that is heavy in total. Therefore each sender counts
//! the messages that it accepts in a [`SpaceSaving`] sketch for each slice of the wall clock, and publishes
//! closed slices to an aggregator ([`Digest`]). The aggregator stores them by sender and slice
//! ([`DigestStore`]) and replies with the heaviest keys of the fleet ([`WindowSummary`]), which each sender
//! converts to a [`FleetView`] and evaluates ([`HotStreamDetector`]). [`HeavyHitters`] combines these parts for
//! one sender. [`fair_shares`] computes the max-min fair share of each stream in a rate limit.
//!
//! The crate does no I/O and reads no clock: time is passed in as
//! [`UnixMillis`](rudderspindle_clock::UnixMillis), datagrams as bytes. It is independent of receivers' limits,
//! messages and sockets. Streams and idempotency keys are represented by keyed hashes ([`KeyHasher`]).
//!
//! Entry points for a reader: `heavy_hitters` (one sender), `digest_publisher` and `aggregator` (the two sides
//! of the gossip), `fleet_view` and `hot_streams` (the detection of hot streams).
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]

mod aggregator;
mod aggregator_selection;
mod datagram;
mod digest;
mod digest_publisher;
mod digest_store;
mod error;
mod fair_share;
mod fleet_view;
mod gossip_message;
mod heavy_hitters;
mod hot_streams;
mod key;
mod mix;
mod packing;
mod repeated_key;
mod round;
mod sender_id;
mod settings;
mod slice;
mod slice_counter;
mod slice_counts;
mod space_saving;
mod window_summary;
mod window_totals;

#[cfg(test)]
mod tests;

pub use aggregator_selection::aggregators;
pub use datagram::OutgoingDatagram;
pub use digest::{Digest, DigestEntry, TopEntries};
pub use digest_store::{DigestStore, StoredSlices};
pub use error::DatagramError;
pub use fair_share::{excess_fraction, fair_shares};
pub use fleet_view::{Coverage, FleetView, Interval};
pub use heavy_hitters::HeavyHitters;
pub use hot_streams::HotStreamDetector;
pub use key::{Key, KeyHasher};
pub use packing::MAX_BODY_LEN;
pub use repeated_key::{RepeatedKey, find_repeated_key};
pub use round::ROUND_MS;
pub use sender_id::{Incarnation, SenderId};
pub use settings::{Settings, SettingsError};
pub use slice::{SLICES_PER_WINDOW, Slice};
pub use slice_counter::SliceCounter;
pub use slice_counts::SliceCounts;
pub use space_saving::{SketchEntry, SpaceSaving};
pub use window_summary::{Acknowledgement, TopKeys, WindowSummary};
pub use window_totals::{KeyTotal, KeyTotals, WindowTotals};
