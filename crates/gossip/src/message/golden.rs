//! Reports and sums of limits: the bytes that the version before the renames wrote.

use super::*;
use crate::golden::datagram;

const FILE: &str = "limits.txt";

fn report(gates: Vec<(LimitId, Sum)>) -> GossipMessage {
    GossipMessage { drawn: None, round: 0x0102_0304, senders: 1, gates }
}

fn sums(gates: Vec<(LimitId, Sum)>) -> GossipMessage {
    GossipMessage { drawn: Some(0x8000_0000_0000_0a07), round: u32::MAX, senders: 513, gates }
}

/// Figures that are told exactly, those that weigh most first.
fn small() -> Vec<(LimitId, Sum)> {
    vec![
        (
            LimitId::of(513, Some("receiver-1")),
            Sum { wanted: 16.0, called: 15.0, refused: 14.0, failed: 13.0 },
        ),
        (LimitId(0x00ab_cdef), Sum { wanted: 0.0, called: 4.0, refused: 3.0, failed: 2.0 }),
        (LimitId::of(7, None), Sum { wanted: 1.0, called: 0.0, refused: 0.0, failed: 0.0 }),
    ]
}

/// Figures that are told in steps, and those that they read as.
const LARGE: [(f64, f64); 4] =
    [(17.0, 16.666_667), (300.0, 302.406_557), (100_000.0, 99_557.988_221), (1e9, 276_245.547_098)];

#[test]
fn reports_and_sums_have_the_golden_bytes_and_read_as_what_was_told() {
    let cases = [
        ("report-empty", report(vec![])),
        ("report", report(small())),
        ("sums-empty", sums(vec![])),
        ("sums", sums(small())),
    ];
    for (name, note) in cases {
        let bytes = datagram(FILE, name);
        assert_eq!(note.clone().encode(), bytes, "{name}");
        assert_eq!(GossipMessage::decode(&bytes), Ok(note), "{name}");
    }
}

#[test]
fn large_figures_have_the_golden_codes_and_read_as_the_same_steps() {
    let [wanted, called, refused, failed] = LARGE.map(|(figure, _)| figure);
    let gate = LimitId(1);
    let bytes = datagram(FILE, "sums-large-figures");
    assert_eq!(sums(vec![(gate, Sum { wanted, called, refused, failed })]).encode(), bytes);
    let read = GossipMessage::decode(&bytes).expect("a note").gates;
    let [(of, sum)] = read[..] else { panic!("one gate, not {read:?}") };
    assert_eq!(of, gate);
    for (read, (_, told)) in [sum.wanted, sum.called, sum.refused, sum.failed].into_iter().zip(LARGE) {
        assert!((read / told - 1.0).abs() < 1e-6, "{read} instead of {told}");
    }
}

#[test]
fn of_too_many_gates_those_that_weigh_most_are_in_the_golden_bytes() {
    let gate =
        |n: u32| (LimitId(n), Sum { wanted: f64::from(n % 13), called: 1.0, refused: 0.0, failed: 0.0 });
    let bytes = datagram(FILE, "report-of-sixty-gates");
    assert_eq!(report((0..60).map(gate).collect()).encode(), bytes);
    assert_eq!(GossipMessage::decode(&bytes).expect("a note").gates.len(), 34);
}
