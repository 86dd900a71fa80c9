//! Compares encoded reports and sums with golden bytes, because the wire format must not change.

use super::{GossipMessage, MessageKind};
use crate::golden::datagram;
use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load};

const FILE: &str = "limits.txt";

fn report(loads: Vec<LimitLoad>) -> GossipMessage {
    GossipMessage { kind: MessageKind::Report, round: 0x0102_0304, sender_count: 1, loads }
}

fn sums(loads: Vec<LimitLoad>) -> GossipMessage {
    let kind = MessageKind::Sums { sample_bits: 0x8000_0000_0000_0a07 };
    GossipMessage { kind, round: u32::MAX, sender_count: 513, loads }
}

/// Loads whose figures are encoded exactly, in the order in which their limits are encoded.
fn small_loads() -> Vec<LimitLoad> {
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

/// Figures that are rounded to the nearest step, each with the figure to which it decodes.
const LARGE_FIGURES: [(f64, f64); 4] =
    [(17.0, 16.666_667), (300.0, 302.406_557), (100_000.0, 99_557.988_221), (1e9, 276_245.547_098)];

#[test]
fn reports_and_sums_match_the_golden_bytes_in_both_directions() {
    let cases = [
        ("report-empty", report(vec![])),
        ("report", report(small_loads())),
        ("sums-empty", sums(vec![])),
        ("sums", sums(small_loads())),
    ];
    for (name, message) in cases {
        let bytes = datagram(FILE, name);
        assert_eq!(message.clone().encode(), bytes, "{name}");
        assert_eq!(GossipMessage::decode(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn large_figures_match_the_golden_codes() {
    let [demand, calls, rejected, failed] = LARGE_FIGURES.map(|(figure, _)| figure);
    let limit_id = LimitId(1);
    let load = Load { demand, calls, rejected, failed };
    let bytes = datagram(FILE, "sums-large-figures");
    assert_eq!(sums(vec![LimitLoad { limit_id, load }]).encode(), bytes);
    let decoded = GossipMessage::decode(&bytes).expect("a valid message").loads;
    let [entry] = decoded[..] else { panic!("expected one limit, decoded {decoded:?}") };
    assert_eq!(entry.limit_id, limit_id);
    let Load { demand, calls, rejected, failed } = entry.load;
    for (figure, (_, expected)) in [demand, calls, rejected, failed].into_iter().zip(LARGE_FIGURES) {
        assert!((figure / expected - 1.0).abs() < 1e-6, "decoded {figure}, expected {expected}");
    }
}

/// The report includes only the 34 limits with the most load.
#[test]
fn a_report_of_sixty_limits_matches_the_golden_bytes() {
    let entry = |n: u32| LimitLoad {
        limit_id: LimitId(n),
        load: Load { demand: f64::from(n % 13), calls: 1.0, rejected: 0.0, failed: 0.0 },
    };
    let bytes = datagram(FILE, "report-of-sixty-gates");
    assert_eq!(report((0..60).map(entry).collect()).encode(), bytes);
    assert_eq!(GossipMessage::decode(&bytes).expect("a valid message").loads.len(), 34);
}
