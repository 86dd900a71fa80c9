//! Compares encoded offers and grants with golden bytes, because the wire format must not change.

use super::{
    MAX_LIMITS, MAX_REQUESTED_PERMITS, PermitGrant, PermitGrantEntry, PermitMessage, PermitOffer,
    PermitOfferEntry,
};
use crate::golden::datagram;
use crate::membership::Incarnation;

const FILE: &str = "rights.txt";

fn offer(entries: Vec<PermitOfferEntry>) -> PermitMessage {
    let incarnation = Incarnation(1_699_999_990_000);
    PermitMessage::PermitOffer(PermitOffer { round: 1_700_000_000, incarnation, entries })
}

fn grant(entries: Vec<PermitGrantEntry>) -> PermitMessage {
    let (round, incarnation) = (1_700_000_001, Incarnation(u64::MAX));
    PermitMessage::PermitGrant(PermitGrant {
        round,
        incarnation,
        candidates_alive: 0x8000_0000_0000_0a07,
        entries,
    })
}

#[test]
fn offers_match_the_golden_bytes_in_both_directions() {
    let entries = vec![
        PermitOfferEntry { limit_id: 0x00ab_cdef, schedule_checksum: 40_000, released: 513, requested: 0 },
        PermitOfferEntry { limit_id: 7, schedule_checksum: 1, released: 0, requested: MAX_REQUESTED_PERMITS },
    ];
    let full = vec![
        PermitOfferEntry {
            limit_id: u32::MAX,
            schedule_checksum: u16::MAX,
            released: 300,
            requested: 255
        };
        MAX_LIMITS
    ];
    for (name, offer) in
        [("offer-empty", offer(vec![])), ("offer", offer(entries)), ("offer-full", offer(full))]
    {
        let bytes = datagram(FILE, name);
        assert_eq!(offer.encode().expect("the message fits"), bytes, "{name}");
        assert_eq!(PermitMessage::decode(&bytes), Ok(offer), "{name}");
    }
}

#[test]
fn grants_match_the_golden_bytes_in_both_directions() {
    let entries = vec![
        PermitGrantEntry {
            limit_id: 0x00ab_cdef,
            schedule_checksum: 40_000,
            number_deltas: vec![0, 1, 513, u16::MAX],
        },
        PermitGrantEntry { limit_id: 7, schedule_checksum: 1, number_deltas: vec![] },
    ];
    let full = vec![PermitGrantEntry {
        limit_id: 8,
        schedule_checksum: 300,
        number_deltas: (1..=MAX_REQUESTED_PERMITS.into()).collect(),
    }];
    for (name, grant) in
        [("grant-empty", grant(vec![])), ("grant", grant(entries)), ("grant-full", grant(full))]
    {
        let bytes = datagram(FILE, name);
        assert_eq!(grant.encode().expect("the message fits"), bytes, "{name}");
        assert_eq!(PermitMessage::decode(&bytes), Ok(grant), "{name}");
    }
}
