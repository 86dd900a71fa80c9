//! Offers and grants of rights: the bytes that the version before the renames wrote.

use super::*;
use crate::golden::datagram;

const FILE: &str = "rights.txt";

fn offer(entries: Vec<PermitOfferEntry>) -> PermitMessage {
    let incarnation = Incarnation(1_699_999_990_000);
    PermitMessage::PermitOffer(PermitOffer { round: 1_700_000_000, incarnation, entries })
}

fn grant(entries: Vec<PermitGrantEntry>) -> PermitMessage {
    let (round, incarnation) = (1_700_000_001, Incarnation(u64::MAX));
    PermitMessage::PermitGrant(PermitGrant { round, incarnation, heard: 0x8000_0000_0000_0a07, entries })
}

#[test]
fn offers_have_the_golden_bytes_and_read_as_what_was_offered() {
    let entries = vec![
        PermitOfferEntry { gate: 0x00ab_cdef, mark: 40_000, lent: 513, asked: 0 },
        PermitOfferEntry { gate: 7, mark: 1, lent: 0, asked: MOST_TURNS },
    ];
    let full = vec![PermitOfferEntry { gate: u32::MAX, mark: u16::MAX, lent: 300, asked: 255 }; MOST_GATES];
    for (name, offer) in
        [("offer-empty", offer(vec![])), ("offer", offer(entries)), ("offer-full", offer(full))]
    {
        let bytes = datagram(FILE, name);
        assert_eq!(offer.encode().expect("it fits"), bytes, "{name}");
        assert_eq!(PermitMessage::decode(&bytes), Ok(offer), "{name}");
    }
}

#[test]
fn grants_have_the_golden_bytes_and_read_as_what_was_granted() {
    let entries = vec![
        PermitGrantEntry { gate: 0x00ab_cdef, mark: 40_000, gaps: vec![0, 1, 513, u16::MAX] },
        PermitGrantEntry { gate: 7, mark: 1, gaps: vec![] },
    ];
    let full = vec![PermitGrantEntry { gate: 8, mark: 300, gaps: (1..=MOST_TURNS.into()).collect() }];
    for (name, grant) in
        [("grant-empty", grant(vec![])), ("grant", grant(entries)), ("grant-full", grant(full))]
    {
        let bytes = datagram(FILE, name);
        assert_eq!(grant.encode().expect("it fits"), bytes, "{name}");
        assert_eq!(PermitMessage::decode(&bytes), Ok(grant), "{name}");
    }
}
