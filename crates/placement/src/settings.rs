//! The settings of one sender's placement, and the aggregators that follow from them.

use thiserror::Error;

use crate::fleet_key::{DrawSalt, FleetKey};
use crate::round::{ROUND_MS, Round};
use crate::sender_id::SenderId;
use crate::zones::ZoneList;

/// Maximum number of senders: a round summary has 3 bits for each, and at most 101 other bytes.
pub const MAX_SENDERS: u16 = 360;

/// The settings of one sender's placement; all but `own_id` and `own_zone` must be the same at all senders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This sender's number, below `sender_count`.
    pub own_id: SenderId,
    /// Number of senders in the fleet, 1 to [`MAX_SENDERS`], including those that are down.
    pub sender_count: u16,
    /// Number of aggregators of a round, 1 or 2; each costs a sender one datagram in each direction and round.
    pub aggregators_per_round: u8,
    /// All zones.
    pub zones: ZoneList,
    /// Index of the zone in which this sender runs.
    pub own_zone: usize,
    /// How long a lease lasts from the start of the round that renewed it, in milliseconds; at least two rounds and
    /// twice the clock error.
    pub lease_ms: u64,
    /// Maximum error of a clock, in milliseconds in either direction.
    pub clock_error_ms: u64,
    /// How long a rule set that not all senders store is announced before this sender acknowledges it, in milliseconds: about
    /// the time until all senders have received it. An acknowledgement stops senders that lack the rule set.
    pub announce_ms: u64,
    /// Maximum duration of a call, in milliseconds.
    pub max_call_ms: u64,
    /// Time within which a body outside its zones must be erased after its rule was narrowed, in milliseconds; at least
    /// `max_call_ms`.
    pub erase_within_ms: u64,
    /// The fleet's key.
    pub key: FleetKey,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The number of senders is out of range.
    #[error("{0} senders: 1 to {MAX_SENDERS} are right")]
    SenderCount(u16),
    /// The own number is not below the number of senders.
    #[error("own number {own_id} is not below the number of senders, {sender_count}")]
    OwnId {
        /// The number given.
        own_id: SenderId,
        /// The number of senders.
        sender_count: u16,
    },
    /// The number of aggregators is out of range.
    #[error("{0} aggregators: 1 or 2 are right")]
    Aggregators(u8),
    /// The own zone is not in the list.
    #[error("own zone {own_zone} is not among the {zone_count} zones")]
    OwnZone {
        /// The index given.
        own_zone: usize,
        /// The number of zones.
        zone_count: usize,
    },
    /// The lease is too short to be renewed in time.
    #[error("a lease of {given_ms} ms: at least {min_ms} ms are right with this clock error")]
    Lease {
        /// The lease given, in milliseconds.
        given_ms: u64,
        /// The shortest valid lease, in milliseconds.
        min_ms: u64,
    },
    /// Bodies would have to be erased while their call may be in flight.
    #[error(
        "bodies are to be gone within {given_ms} ms, which is less than the longest call, {max_call_ms} ms"
    )]
    EraseWithin {
        /// The time given, in milliseconds.
        given_ms: u64,
        /// The maximum duration of a call, in milliseconds.
        max_call_ms: u64,
    },
}

impl Settings {
    /// Checks that all fields are within their bounds.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.sender_count == 0 || self.sender_count > MAX_SENDERS {
            return Err(SettingsError::SenderCount(self.sender_count));
        }
        if self.own_id.0 >= self.sender_count {
            return Err(SettingsError::OwnId { own_id: self.own_id, sender_count: self.sender_count });
        }
        if !(1..=2).contains(&self.aggregators_per_round) {
            return Err(SettingsError::Aggregators(self.aggregators_per_round));
        }
        let zone_count = self.zones.names().len();
        if self.own_zone >= zone_count {
            return Err(SettingsError::OwnZone { own_zone: self.own_zone, zone_count });
        }
        self.validate_durations()
    }

    fn validate_durations(&self) -> Result<(), SettingsError> {
        let min_ms = self.clock_error_ms.saturating_mul(2).saturating_add(2 * ROUND_MS);
        if self.lease_ms < min_ms {
            return Err(SettingsError::Lease { given_ms: self.lease_ms, min_ms });
        }
        let (given_ms, max_call_ms) = (self.erase_within_ms, self.max_call_ms);
        if given_ms < max_call_ms {
            return Err(SettingsError::EraseWithin { given_ms, max_call_ms });
        }
        Ok(())
    }

    /// The senders that aggregate a round's heartbeats: the same at every sender.
    pub(crate) fn aggregators(&self, round: Round) -> Vec<SenderId> {
        let count = usize::from(self.sender_count);
        let first = self.key.draw(round.number(), DrawSalt::FIRST_AGGREGATOR, count);
        let mut aggregators = vec![SenderId::from_index(first)];
        if self.aggregators_per_round > 1 && count > 1 {
            let offset = 1 + self.key.draw(round.number(), DrawSalt::SECOND_AGGREGATOR, count - 1);
            aggregators.push(SenderId::from_index((first + offset) % count));
        }
        aggregators
    }

    /// Whether this sender aggregates a round's heartbeats.
    pub(crate) fn is_aggregator(&self, round: Round) -> bool {
        self.aggregators(round).contains(&self.own_id)
    }

    /// Whether `count` senders are more than half of the fleet.
    pub(crate) fn is_majority(&self, count: usize) -> bool {
        count * 2 > usize::from(self.sender_count)
    }
}
