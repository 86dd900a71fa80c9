//! What senders tell one another of their rights, in the envelope of further kinds.

use serde::{Deserialize, Serialize};

use crate::envelope::{EnvelopeError, Kind, MAX_BODY_LEN, bounded, open, read, seal};
use crate::membership::Incarnation;

/// Gates that an offer has room for: 4 bytes for the name, 3 for the mark and 2 for each number at the most.
pub(crate) const MOST_GATES: usize = (MAX_BODY_LEN - 16) / 11;
/// Turns that a sender asks for at one gate, at most: what a note has room for.
pub(crate) const MOST_TURNS: u8 = 60;
const MOST_GAPS: usize = MOST_TURNS as usize;

/// One sender's offer for a round: what it gives up of its own turns, and what it wants of others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PermitOffer {
    pub round: u64,
    pub incarnation: Incarnation,
    #[serde(deserialize_with = "bounded::<MOST_GATES, _, _>")]
    pub entries: Vec<PermitOfferEntry>,
}

/// At one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PermitOfferEntry {
    pub gate: u32,
    /// Of the schedule that it speaks of.
    pub mark: u16,
    /// So many of its own turns in the round's term, the last ones, are given up.
    pub lent: u16,
    /// So many of others' it could use.
    pub asked: u8,
}

/// What one sender is lent of a round's offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitGrant {
    pub round: u64,
    /// The incarnation that offered: no other may use the turns.
    pub incarnation: Incarnation,
    /// Which of those drawn to deal offered in this round, a bit for each.
    pub heard: u64,
    #[serde(deserialize_with = "bounded::<MOST_GATES, _, _>")]
    pub entries: Vec<PermitGrantEntry>,
}

/// At one gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitGrantEntry {
    pub gate: u32,
    pub mark: u16,
    /// Turns, each by how many it lies after the one before, the first after the term's first.
    #[serde(deserialize_with = "bounded::<MOST_GAPS, _, _>")]
    pub gaps: Vec<u16>,
}

/// A note on rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitMessage {
    PermitOffer(PermitOffer),
    PermitGrant(PermitGrant),
}

impl PermitMessage {
    /// A datagram; an error if it were too long.
    pub fn encode(&self) -> Result<Vec<u8>, EnvelopeError> {
        match self {
            Self::PermitOffer(offer) => seal(Kind::PermitOffer, offer),
            Self::PermitGrant(grant) => seal(Kind::PermitGrant, grant),
        }
    }

    pub fn decode(note: &[u8]) -> Result<Self, EnvelopeError> {
        match open(note)? {
            (Kind::PermitOffer, body) => read(body).map(Self::PermitOffer),
            (Kind::PermitGrant, body) => read(body).map(Self::PermitGrant),
            _ => Err(EnvelopeError::Kind(note[0])),
        }
    }
}

#[cfg(test)]
mod golden;
