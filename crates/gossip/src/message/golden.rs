//! Golden bytes of reports and sums: the wire format must not change.

use super::{GossipMessage, MessageKind};
use crate::golden::datagram;
use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load};

const FILE: &str = "limits.txt";

fn report(loads: Vec<LimitLoad>) -> GossipMessage {
    GossipMessage { kind: MessageKind::Report, round: 0x0102_0304, senders: 1, loads }
}

fn sums(loads: Vec<LimitLoad>) -> GossipMessage {
    let kind = MessageKind::Sums { sample_bits: 0x8000_0000_0000_0a07 };
    GossipMessage { kind, round: u32::MAX, senders: 513, loads }
}

/// Figures that are encoded exactly, in the order in which their limits are encoded.
fn small() -> Vec<LimitLoad> {
    let entry = |limit_id, [demand, calls, rejected, failed]: [f64; 4]| LimitLoad {
        limit_id,
        load: Load { demand, calls, rejected, failed },
    };
    vec![
        entry(LimitId::of(513, Some("receiver-1")), [16.0, 15.0, 14.0, 13.0]),
        entry(LimitId(0x00ab_cdef), [0.0, 4.0, 3.0, 2.0]),
        entry(LimitId::of(7, None), [1.0, 0.0, 0.0, 0.0]),
    ]
}

/// Figures that are encoded in steps, each with the figure to which it decodes.
const LARGE: [(f64, f64); 4] =
    [(17.0, 16.666_667), (300.0, 302.406_557), (100_000.0, 99_557.988_221), (1e9, 276_245.547_098)];

#[test]
fn reports_and_sums_have_the_golden_bytes_and_decode_to_the_same_messages() {
    let cases = [
        ("report-empty", report(vec![])),
        ("report", report(small())),
        ("sums-empty", sums(vec![])),
        ("sums", sums(small())),
    ];
    for (name, message) in cases {
        let bytes = datagram(FILE, name);
        assert_eq!(message.clone().encode(), bytes, "{name}");
        assert_eq!(GossipMessage::decode(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn large_figures_have_the_golden_codes_and_decode_to_the_same_steps() {
    let [demand, calls, rejected, failed] = LARGE.map(|(figure, _)| figure);
    let limit_id = LimitId(1);
    let load = Load { demand, calls, rejected, failed };
    let bytes = datagram(FILE, "sums-large-figures");
    assert_eq!(sums(vec![LimitLoad { limit_id, load }]).encode(), bytes);
    let decoded = GossipMessage::decode(&bytes).expect("a message").loads;
    let [entry] = decoded[..] else { panic!("one limit, not {decoded:?}") };
    assert_eq!(entry.limit_id, limit_id);
    let Load { demand, calls, rejected, failed } = entry.load;
    for (figure, (_, expected)) in [demand, calls, rejected, failed].into_iter().zip(LARGE) {
        assert!((figure / expected - 1.0).abs() < 1e-6, "{figure} instead of {expected}");
    }
}

#[test]
fn of_too_many_limits_those_with_the_most_load_are_in_the_golden_bytes() {
    let entry = |n: u32| LimitLoad {
        limit_id: LimitId(n),
        load: Load { demand: f64::from(n % 13), calls: 1.0, rejected: 0.0, failed: 0.0 },
    };
    let bytes = datagram(FILE, "report-of-sixty-gates");
    assert_eq!(report((0..60).map(entry).collect()).encode(), bytes);
    assert_eq!(GossipMessage::decode(&bytes).expect("a message").loads.len(), 34);
}
