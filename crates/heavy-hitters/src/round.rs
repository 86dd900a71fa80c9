//! Gossip rounds: when senders publish and aggregators reply within a slice.

use rudderspindle_clock::UnixMillis;

/// Length of a round, in milliseconds: longer than the time that a datagram and its reply are in flight.
pub const ROUND_MS: u64 = 200;
/// Time from the start of a round to the first publication, in milliseconds: long enough for replies sent at
/// the start of the round to arrive.
const PUBLISH_FROM_MS: u64 = 50;
/// Time between the first and the last sender's publication in a round, in milliseconds.
const PUBLISH_SPREAD_MS: u64 = 70;
/// The indices of the rounds of a slice in which the aggregator replies to all senders that have published in
/// the slice; by then each sender has published three times. In later rounds it replies only to senders that
/// publish again.
pub(crate) const BROADCAST_ROUNDS: [u64; 2] = [3, 4];

/// The number of a round: milliseconds since the Unix epoch, divided by [`ROUND_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round(u64);

impl Round {
    /// The round that contains the time.
    pub fn containing(time: UnixMillis) -> Self {
        Self(time.0 / ROUND_MS)
    }

    /// The time at which the next round begins.
    pub fn next_start(self) -> UnixMillis {
        UnixMillis((self.0 + 1) * ROUND_MS)
    }

    /// The time at which a sender publishes in this round.
    pub fn publish_time(self, sender_index: usize, sender_count: usize) -> UnixMillis {
        let offset = sender_index as u64 * PUBLISH_SPREAD_MS / sender_count.max(1) as u64;
        UnixMillis(self.0 * ROUND_MS + PUBLISH_FROM_MS + offset)
    }
}

/// Index of the round that contains the time, within its slice of `slice_ms` milliseconds: 0 for the first round.
pub(crate) fn round_in_slice(time: UnixMillis, slice_ms: u64) -> u64 {
    time.0 % slice_ms / ROUND_MS
}
