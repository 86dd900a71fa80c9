//! The settings of one sender's placement, and the choice of each round's aggregators.

use thiserror::Error;

use crate::fleet_key::{DrawSalt, FleetKey};
use crate::round::{ROUND_MS, Round};
use crate::sender_id::SenderId;
use crate::zones::ZoneList;

/// Maximum number of senders, so that a round summary fits into one datagram: it has 3 bits for each sender and at most 101
/// other bytes.
pub const MAX_SENDERS: u16 = 360;

/// The settings of one sender's placement; all but `own_id` and `own_zone` must be the same at all senders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This sender's number, below `sender_count`.
    pub own_id: SenderId,
    /// Number of senders in the fleet, 1 to [`MAX_SENDERS`], including those that are down.
    pub sender_count: u16,
    /// Number of senders that aggregate the heartbeats of a round, 1 or 2. In each round, each aggregator sends one datagram to
    /// every other sender and receives one from it.
    pub aggregators_per_round: u8,
    /// All zones of the fleet.
    pub zones: ZoneList,
    /// Index of the zone in which this sender runs.
    pub own_zone: usize,
    /// Duration of a lease from the start of the round that renewed it, in milliseconds; at least two rounds plus twice
    /// `clock_error_ms`.
    pub lease_ms: u64,
    /// Maximum error of any sender's clock in either direction, in milliseconds.
    pub clock_error_ms: u64,
    /// Maximum time for which this sender announces a rule set in its heartbeats before it acknowledges the rule set, in
    /// milliseconds. It acknowledges the rule set earlier if another sender acknowledges it or all other voting senders store
    /// it. The time should be about that until all senders have received a rule set, because an acknowledgement prevents
    /// senders without the rule set from renewing their leases.
    pub announce_ms: u64,
    /// Maximum duration of a call, in milliseconds.
    pub max_call_ms: u64,
    /// Time within which a stored body must be erased after a rule excluded this sender's zone, in milliseconds; at
    /// least `max_call_ms`.
    pub erase_within_ms: u64,
    /// Secret key of the fleet, for all keyed hashes.
    pub key: FleetKey,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The number of senders is out of range.
    #[error("sender_count = {0}: must be between 1 and {MAX_SENDERS}")]
    SenderCount(u16),
    /// This sender's number is not below the number of senders.
    #[error("own_id = {own_id}: must be below sender_count = {sender_count}")]
    OwnId {
        /// The invalid number.
        own_id: SenderId,
        /// The number of senders in the settings.
        sender_count: u16,
    },
    /// The number of aggregators is out of range.
    #[error("aggregators_per_round = {0}: must be 1 or 2")]
    Aggregators(u8),
    /// The index of this sender's zone is not in the list of zones.
    #[error("own_zone = {own_zone}: must be below the number of zones, {zone_count}")]
    OwnZone {
        /// The invalid index.
        own_zone: usize,
        /// The number of zones in the settings.
        zone_count: usize,
    },
    /// The lease would expire before it can be renewed.
    #[error("lease_ms = {given_ms}: must be at least {min_ms}, two rounds plus twice clock_error_ms")]
    Lease {
        /// The invalid duration, in milliseconds.
        given_ms: u64,
        /// The shortest valid lease, in milliseconds.
        min_ms: u64,
    },
    /// Bodies would have to be erased while their call may be in flight.
    #[error("erase_within_ms = {given_ms}: must be at least max_call_ms = {max_call_ms}")]
    EraseWithin {
        /// The invalid time, in milliseconds.
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
    /// Returns the [`SettingsError`] of the first invalid field.
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

    /// The senders that aggregate a round's heartbeats; every sender computes the same ones.
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
