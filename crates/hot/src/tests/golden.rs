//! Encoded bytes against the files in `tests/golden`, which are never regenerated.
use crate::answer::{Answer, Heaviest, Sum, Yours};
use crate::digest::{Digest, Listed};
use crate::rounds::adders;
use crate::streams::{Key, Names};
use crate::wire::Note;

/// The bytes of a golden file: hexadecimal digits, lines that begin with `#` and white space are skipped.
fn bytes_of(file: &str) -> Vec<u8> {
    let digits: String =
        file.lines().filter(|line| !line.starts_with('#')).flat_map(str::split_whitespace).collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_golden(note: &Note, file: &str) {
    let golden = bytes_of(file);
    assert_eq!(hex(&note.encode()), hex(&golden));
    assert_eq!(Note::decode(&golden).as_ref(), Ok(note));
}

#[test]
fn a_digest_has_its_golden_bytes() {
    let streams =
        Listed { entries: vec![(Key::new(0x0102_0304_0506), 900, 30), (Key::new(7), 5, 0)], left_out: 35 };
    let keys = Listed { entries: vec![(Key::new(0xffff_ffff_ffff), 2, 1)], left_out: 3 };
    let digest = Digest {
        incarnation: 1_700_000_000_000,
        pane: 850_000_004,
        whole: true,
        began: Some(3),
        total: 1_000,
        streams,
        keys,
    };
    assert_golden(&Note::Digest(digest.clone()), include_str!("../../tests/golden/digest.hex"));
    let later = Digest { whole: false, began: None, ..digest };
    assert_golden(&Note::Digest(later), include_str!("../../tests/golden/digest-partial.hex"));
}

#[test]
fn an_answer_has_its_golden_bytes() {
    let sum = |key, least, spread, senders| Sum { key: Key::new(key), least, spread, senders };
    let answer = Answer {
        pane: 850_000_005,
        round: 4,
        yours: Yours { incarnation: 1_700_000_000_000, held: 0b10110, total: 2_345 },
        heard: [299, 300, 300, 298, 0],
        total: 90_000,
        streams: Heaviest {
            sums: vec![sum(0x0102_0304_0506, 30_000, 400, 300), sum(7, 200, 0, 1)],
            left_out: 1_234,
        },
        keys: Heaviest { sums: vec![sum(0xffff_ffff_ffff, 20, 5, 12)], left_out: 6 },
    };
    assert_golden(&Note::Answer(answer), include_str!("../../tests/golden/answer.hex"));
}

#[test]
fn keys_and_draws_stay_as_they_are() {
    let names = Names::new(*b"golden-fleet-key");
    assert_eq!(names.stream("narmada", "gate-1"), Key::new(STREAM));
    assert_eq!(names.idempotency("narmada", "order-7"), Key::new(IDEMPOTENCY));
    assert_eq!(Key::new(7).rank(9), RANK);
    assert_eq!([0, 30, 850_000_004].map(|pane| adders(pane, 300)), ADDERS);
}

const STREAM: u64 = 0x4c78_c254_5d49;
const IDEMPOTENCY: u64 = 0x893c_0861_a8ee;
const RANK: u64 = 9_667_375_687_416_803_575;
const ADDERS: [[usize; 3]; 3] = [[286, 250, 233], [155, 178, 115], [171, 79, 92]];
