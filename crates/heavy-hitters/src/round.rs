//! Gossip rounds: the times within a slice at which senders publish and aggregators reply.

use rudderspindle_clock::UnixMillis;

/// Length of a round, in milliseconds: longer than a datagram and its reply are in flight.
pub const ROUND_MS: u64 = 200;
/// Start of the part of a round in which senders publish, in milliseconds: replies sent at the round's start have arrived.
const PUBLISH_FROM_MS: u64 = 50;
/// Length of the part of a round over which the senders' publications are spread, in milliseconds.
const PUBLISH_SPREAD_MS: u64 = 70;
/// The rounds of a slice in which all senders that have published in it are answered; by then each has published three
/// times. Later only senders that publish again are answered.
pub(crate) const BROADCAST_ROUNDS: [u64; 2] = [3, 4];

/// The number of a round: milliseconds since the Unix epoch, divided by [`ROUND_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round(u64);

impl Round {
    /// The round that contains a point in time.
    pub fn containing(time: UnixMillis) -> Self {
        Self(time.0 / ROUND_MS)
    }

    /// When the next round begins.
    pub fn next_start(self) -> UnixMillis {
        UnixMillis((self.0 + 1) * ROUND_MS)
    }

    /// When a sender publishes in this round.
    pub fn publish_time(self, sender_index: usize, sender_count: usize) -> UnixMillis {
        let offset = sender_index as u64 * PUBLISH_SPREAD_MS / sender_count.max(1) as u64;
        UnixMillis(self.0 * ROUND_MS + PUBLISH_FROM_MS + offset)
    }
}

/// Index of the round that contains a point in time within its slice of `slice_ms` milliseconds.
pub(crate) fn round_in_slice(time: UnixMillis, slice_ms: u64) -> u64 {
    time.0 % slice_ms / ROUND_MS
}
