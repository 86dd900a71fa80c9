//! Messages of the permit protocol, carried in the [envelope](crate::envelope).

use serde::{Deserialize, Serialize};

use crate::envelope::{Envelope, EnvelopeError, Kind, MAX_BODY_LEN, bounded, open, read, seal};
use crate::membership::Incarnation;

/// Maximum number of limits in a message: an entry of an offer has up to 4 bytes for the limit, 3 for the checksum and
/// 2 for each of the two counts.
pub(crate) const MAX_LIMITS: usize = (MAX_BODY_LEN - 16) / 11;
/// Maximum number of permits that a sender requests at one limit: as many as fit into a grant.
pub(crate) const MAX_REQUESTED_PERMITS: u8 = 60;
/// Maximum number of permits in an entry of a grant.
const MAX_NUMBER_DELTAS: usize = MAX_REQUESTED_PERMITS as usize;

/// One sender's offer for a round. It contains how many permits the sender releases or requests at each limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PermitOffer {
    pub round: u64,
    pub incarnation: Incarnation,
    #[serde(deserialize_with = "bounded::<MAX_LIMITS, _, _>")]
    pub entries: Vec<PermitOfferEntry>,
}

/// The part of an offer that concerns one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PermitOfferEntry {
    pub limit_id: u32,
    /// Checksum of the sender's permit schedule.
    pub schedule_checksum: u16,
    /// Number of released permits. Of the sender's own permits in the round's term, those that start last are released.
    pub released: u16,
    /// Number of permits requested in addition to the sender's own permits.
    pub requested: u8,
}

/// The response to one sender's offer: the permits that are granted to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitGrant {
    pub round: u64,
    /// The incarnation that sent the offer; no other incarnation may use the permits.
    pub incarnation: Incarnation,
    /// Bits of the allocator candidates that sent an offer in this round.
    pub candidates_alive: u64,
    #[serde(deserialize_with = "bounded::<MAX_LIMITS, _, _>")]
    pub entries: Vec<PermitGrantEntry>,
}

/// The part of a grant that concerns one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitGrantEntry {
    pub limit_id: u32,
    /// Checksum of the allocator's permit schedule.
    pub schedule_checksum: u16,
    /// The numbers of the granted permits, ascending. Each is encoded as its difference from the previous one, the first
    /// as its difference from the first permit number of the round's term.
    #[serde(deserialize_with = "bounded::<MAX_NUMBER_DELTAS, _, _>")]
    pub number_deltas: Vec<u16>,
}

/// A message of the permit protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitMessage {
    PermitOffer(PermitOffer),
    PermitGrant(PermitGrant),
}

impl PermitMessage {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// [`EnvelopeError::Length`] if the message does not fit.
    pub fn encode(&self) -> Result<Vec<u8>, EnvelopeError> {
        match self {
            Self::PermitOffer(offer) => seal(Kind::PermitOffer, offer),
            Self::PermitGrant(grant) => seal(Kind::PermitGrant, grant),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`EnvelopeError`] if the datagram is malformed or belongs to another protocol.
    pub fn decode(datagram: &[u8]) -> Result<Self, EnvelopeError> {
        let Envelope { kind, body } = open(datagram)?;
        match kind {
            Kind::PermitOffer => read(body).map(Self::PermitOffer),
            Kind::PermitGrant => read(body).map(Self::PermitGrant),
            _ => Err(EnvelopeError::Kind(datagram[0])),
        }
    }
}

#[cfg(test)]
mod golden;
