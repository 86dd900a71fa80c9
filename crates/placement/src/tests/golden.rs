//! Compares encoded bytes with the files in `tests/golden`, which are never regenerated: encodings must stay compatible.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use crate::fleet_key::{DrawSalt, FleetKey};
use crate::gossip_message::{EncodedSummary, GossipMessage, Heartbeat, PartRequest, RuleSetPart};
use crate::held_rule_sets::{HeldRuleSet, HeldRuleSets};
use crate::round::Round;
use crate::round_summary::{RoundSummary, SenderReport, SlotMask};
use crate::rule_set::{RuleSet, TenantRule};
use crate::rule_set_id::{ContentHash, RuleSetId};
use crate::sender_id::Incarnation;
use crate::state_record::StateRecord;
use crate::zones::{ZoneList, ZoneSet};

/// The bytes of a golden file of hexadecimal digits; skips white space and lines that begin with `#`.
fn bytes_of(file: &str) -> Vec<u8> {
    let digits: String =
        file.lines().filter(|line| !line.starts_with('#')).flat_map(str::split_whitespace).collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn key() -> FleetKey {
    FleetKey::new(*b"golden-fleet-key")
}

fn rule_set_ids() -> [RuleSetId; 4] {
    [
        RuleSetId { revision: 6, content_hash: ContentHash(0x0102_0304_0506_0708) },
        RuleSetId { revision: 7, content_hash: ContentHash(0xfedc_ba98_7654_3210) },
        RuleSetId { revision: 300, content_hash: ContentHash(5) },
        RuleSetId::default(),
    ]
}

fn assert_golden(message: &GossipMessage<'_>, file: &str) {
    let golden = bytes_of(file);
    assert_eq!(hex(&message.encode()), hex(&golden));
    assert_eq!(GossipMessage::decode(&golden).as_ref(), Ok(message));
}

#[test]
fn a_heartbeat_has_its_golden_bytes() {
    let heartbeat = Heartbeat {
        round: Round(3_400_000_123),
        sent_at: UnixMillis(1_700_000_061_500),
        incarnation: Incarnation(42),
        sender_count: 300,
        voting: true,
        rule_sets: rule_set_ids(),
        acknowledged: 0b101,
    };
    assert_golden(&GossipMessage::Heartbeat(heartbeat), include_str!("../../tests/golden/heartbeat.hex"));
}

#[test]
fn a_summary_has_its_golden_bytes_and_decodes_to_what_was_encoded() {
    let reports = vec![
        SenderReport::Missing,
        SenderReport::NotVoting,
        SenderReport::Voting(SlotMask(0b0011_0111)),
        SenderReport::Voting(SlotMask(0b0001_0011)),
        SenderReport::Voting(SlotMask(0b0011_0111)),
        SenderReport::Voting(SlotMask(0)),
        SenderReport::Missing,
        SenderReport::Voting(SlotMask(0b0001_0011)),
        SenderReport::Voting(SlotMask(0b0011_0111)),
    ];
    let summary = RoundSummary { round: Round(3_400_000_123), rule_sets: rule_set_ids(), reports };
    let golden = bytes_of(include_str!("../../tests/golden/summary.hex"));
    assert_eq!(hex(&summary.encode()), hex(&golden));
    let Ok(GossipMessage::Summary(encoded)) = GossipMessage::decode(&golden) else { panic!("not a summary") };
    assert_eq!(RoundSummary::decode(&encoded, 9), Ok(summary));
    let expected = EncodedSummary {
        round: Round(3_400_000_123),
        sender_count: 9,
        rule_sets: rule_set_ids(),
        slot_masks: [0b0011_0111, 0b0001_0011, 0, 0, 0, 0],
        report_codes: encoded.report_codes,
    };
    assert_eq!(encoded, expected);
}

#[test]
fn a_part_request_has_its_golden_bytes() {
    let request = PartRequest { rule_set: rule_set_ids()[1], parts: 0x8000_0305 };
    assert_golden(&GossipMessage::PartRequest(request), include_str!("../../tests/golden/part-request.hex"));
}

#[test]
fn a_part_has_its_golden_bytes() {
    let bytes: Vec<u8> = (0..=199).collect();
    let part = RuleSetPart { rule_set: rule_set_ids()[2], index: 2, part_count: 17, bytes: &bytes };
    assert_golden(&GossipMessage::Part(part), include_str!("../../tests/golden/part.hex"));
}

fn rules() -> RuleSet {
    let zones = ZoneList::new(&["hall-a", "hall-b", "hall-c"]).unwrap();
    let known_tenants = BTreeSet::from(["narmada-sports", "tapi-news"]);
    let rules = [
        TenantRule { tenant: "tapi-news", zones: &["hall-c", "hall-a"] },
        TenantRule { tenant: "narmada-sports", zones: &["hall-b"] },
    ];
    RuleSet::new(7, &rules, &zones, &known_tenants, &key()).unwrap()
}

#[test]
fn a_rule_set_has_its_golden_bytes_and_id() {
    let golden = bytes_of(include_str!("../../tests/golden/rule-set.hex"));
    assert_eq!(hex(&rules().encode()), hex(&golden));
    assert_eq!(postcard::from_bytes(&golden), Ok(rules()));
    assert_eq!(rules().zones_of(key().tenant_id("tapi-news")), Some(ZoneSet(0b101)));
    assert_eq!(rules().id(&key()), RuleSetId { revision: 7, content_hash: ContentHash(CONTENT_HASH) });
}

#[test]
fn a_record_has_its_golden_bytes() {
    let announced = HeldRuleSet { rules: rules(), announced_since: Some(UnixMillis(1_700_000_000_250)) };
    let acknowledged = HeldRuleSet { rules: rules(), announced_since: None };
    let first = RuleSetId { revision: 6, content_hash: ContentHash(77) };
    let by_id = BTreeMap::from([(first, acknowledged), (rules().id(&key()), announced)]);
    let excluded_since = BTreeMap::from([(key().tenant_id("tapi-news"), UnixMillis(1_700_000_000_125))]);
    let record =
        StateRecord { held: HeldRuleSets { by_id, committed_revision: 6 }, voting: true, excluded_since };
    let golden = bytes_of(include_str!("../../tests/golden/record.hex"));
    assert_eq!(hex(&record.encode(&key())), hex(&golden));
    assert_eq!(StateRecord::decode(&golden, &key()), Ok(record));
}

#[test]
fn hashes_and_draws_have_their_golden_values() {
    let draws: Vec<usize> = (0..8).map(|round| key().draw(round, DrawSalt(round % 3), 300)).collect();
    assert_eq!(draws, DRAWS);
    assert_eq!(key().tenant_id("tapi-news").0, TENANT_HASH);
}

const CONTENT_HASH: u64 = 7_412_463_606_687_401_755;
const TENANT_HASH: u64 = 14_932_208_786_738_620_332;
const DRAWS: [usize; 8] = [169, 219, 297, 233, 127, 103, 34, 45];
