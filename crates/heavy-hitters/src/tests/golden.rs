//! Compares encoded messages with the files in `tests/golden`, which are never regenerated.
use crate::aggregator_selection::aggregators;
use crate::digest::{Digest, DigestEntry, TopEntries};
use crate::gossip_message::GossipMessage;
use crate::key::{Key, KeyHasher};
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::Slice;
use crate::window_summary::{Acknowledgement, TopKeys, WindowSummary};
use crate::window_totals::KeyTotal;

/// Decodes the hexadecimal digits of a golden file; lines that begin with `#` and white space are skipped.
fn decode_golden(file: &str) -> Vec<u8> {
    let digits: String =
        file.lines().filter(|line| !line.starts_with('#')).flat_map(str::split_whitespace).collect();
    (0..digits.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&digits[offset..offset + 2], 16).unwrap())
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_golden(message: &GossipMessage, file: &str) {
    let golden = decode_golden(file);
    assert_eq!(hex(&message.encode()), hex(&golden));
    assert_eq!(GossipMessage::decode(&golden).as_ref(), Ok(message));
}

#[test]
fn a_digest_has_its_golden_bytes() {
    let entry = |key, min, error| DigestEntry { key: Key::new(key), min, error };
    let streams =
        TopEntries { entries: vec![entry(0x0102_0304_0506, 900, 30), entry(7, 5, 0)], max_unlisted: 35 };
    let idempotency_keys = TopEntries { entries: vec![entry(0xffff_ffff_ffff, 2, 1)], max_unlisted: 3 };
    let digest = Digest {
        incarnation: Incarnation(1_700_000_000_000),
        slice: Slice(850_000_004),
        complete: true,
        started_slices_ago: Some(3),
        total: 1_000,
        streams,
        idempotency_keys,
    };
    assert_golden(&GossipMessage::Digest(digest.clone()), include_str!("../../tests/golden/digest.hex"));
    let incomplete = Digest { complete: false, started_slices_ago: None, ..digest };
    assert_golden(&GossipMessage::Digest(incomplete), include_str!("../../tests/golden/digest-partial.hex"));
}

#[test]
fn a_summary_has_its_golden_bytes() {
    let total = |key, min, spread, senders| KeyTotal { key: Key::new(key), min, spread, senders };
    let summary = WindowSummary {
        slice: Slice(850_000_005),
        round_index: 4,
        acknowledgement: Acknowledgement {
            incarnation: Incarnation(1_700_000_000_000),
            slice_bits: 0b10110,
            total: 2_345,
        },
        complete_counts: [299, 300, 300, 298, 0],
        messages: 90_000,
        streams: TopKeys {
            totals: vec![total(0x0102_0304_0506, 30_000, 400, 300), total(7, 200, 0, 1)],
            max_unlisted: 1_234,
        },
        idempotency_keys: TopKeys { totals: vec![total(0xffff_ffff_ffff, 20, 5, 12)], max_unlisted: 6 },
    };
    assert_golden(&GossipMessage::Summary(summary), include_str!("../../tests/golden/summary.hex"));
}

#[test]
fn keys_ranks_and_aggregator_selection_do_not_change() {
    let hasher = KeyHasher::new(*b"golden-fleet-key");
    assert_eq!(hasher.stream_key("narmada", "gate-1"), Key::new(STREAM_KEY));
    assert_eq!(hasher.idempotency_key("narmada", "order-7"), Key::new(IDEMPOTENCY_KEY));
    assert_eq!(Key::new(7).rank(9), RANK);
    assert_eq!(
        [0, 30, 850_000_004].map(|slice| aggregators(Slice(slice), 300)),
        AGGREGATORS.map(|ids| ids.map(SenderId))
    );
}

const STREAM_KEY: u64 = 0x4c78_c254_5d49;
const IDEMPOTENCY_KEY: u64 = 0x893c_0861_a8ee;
const RANK: u64 = 9_667_375_687_416_803_575;
const AGGREGATORS: [[usize; 3]; 3] = [[286, 250, 233], [155, 178, 115], [171, 79, 92]];
