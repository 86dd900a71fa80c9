//! Tests that messages decode to what was encoded, the precision of figures, and malformed datagrams.

use super::load_code::{decode_figure, encode_figure};
use super::{GossipError, GossipMessage, MAX_LIMITS, MAX_MESSAGE_LEN, MessageKind};
use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load};

fn sums_of(limit_count: usize) -> GossipMessage {
    let load = |n: usize| Load { demand: n as f64, calls: 3.0, rejected: 1.0, failed: 2.0 };
    let entry = |n| LimitLoad { limit_id: LimitId::of(n as u16, None), load: load(n) };
    GossipMessage {
        kind: MessageKind::Sums { sample_bits: 0x8000_0000_0000_0007 },
        round: 70_000,
        sender_count: 300,
        loads: (0..limit_count).map(entry).collect(),
    }
}

#[test]
fn a_round_trip_preserves_the_limits_with_the_most_load() {
    let few = sums_of(3);
    let mut decoded = GossipMessage::decode(&few.clone().encode()).expect("a valid message");
    decoded.loads.reverse();
    assert_eq!(decoded, few);
    let bytes = sums_of(100).encode();
    assert!(bytes.len() <= MAX_MESSAGE_LEN, "{}", bytes.len());
    let decoded = GossipMessage::decode(&bytes).expect("a valid message");
    assert_eq!(decoded.loads.len(), MAX_LIMITS);
    let least = decoded.loads.iter().map(|entry| entry.load.demand).fold(f64::INFINITY, f64::min);
    assert!(least >= 55.0, "a limit with a demand of {least} was encoded instead of one with more");
}

#[test]
fn figures_are_exact_while_small_and_within_a_twentieth_above() {
    for n in 0..=16 {
        assert_eq!(decode_figure(encode_figure(f64::from(n))), f64::from(n));
    }
    for n in [17.0, 55.0, 300.0, 2_000.0, 100_000.0] {
        let decoded = decode_figure(encode_figure(n));
        assert!((decoded / n - 1.0).abs() < 0.05, "{n} decodes to {decoded}");
    }
    for extreme in [f64::NAN, -5.0, f64::INFINITY, f64::MAX] {
        assert!(decode_figure(encode_figure(extreme)).is_finite());
    }
}

#[test]
fn a_truncated_damaged_too_long_or_unknown_datagram_is_rejected() {
    let valid = sums_of(2).encode();
    for length in 0..valid.len() {
        assert!(GossipMessage::decode(&valid[..length]).is_err(), "the first {length} bytes were accepted");
    }
    for byte in 0..valid.len() {
        let mut damaged = valid.clone();
        damaged[byte] ^= 0x10;
        assert!(GossipMessage::decode(&damaged).is_err(), "accepted with a changed byte {byte}");
    }
    assert_eq!(GossipMessage::decode(&[0x61; 262]), Err(GossipError::Length(262)));
    let mut other_kind = valid;
    other_kind[0] = 0x51;
    assert_eq!(GossipMessage::decode(&other_kind), Err(GossipError::Kind(0x51)));
}
