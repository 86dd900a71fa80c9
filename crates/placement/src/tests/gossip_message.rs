//! Length of encoded messages, and rejection of malformed ones.

use rudderspindle_clock::UnixMillis;

use crate::gossip_message::{
    EncodedSummary, GossipError, GossipMessage, Heartbeat, MAX_BODY_LEN, MAX_PART_LEN, MAX_PARTS,
    MAX_SLOT_MASKS, PartRequest, RuleSetPart,
};
use crate::round::Round;
use crate::rule_set_id::{ContentHash, MAX_RULE_SETS, RuleSetId};
use crate::sender_id::Incarnation;
use crate::settings::MAX_SENDERS;

const LARGEST_ID: RuleSetId = RuleSetId { revision: u64::MAX, content_hash: ContentHash(u64::MAX) };

#[test]
fn the_largest_message_of_each_kind_fits_into_a_body() {
    let heartbeat = Heartbeat {
        round: Round(u64::MAX),
        sent_at: UnixMillis(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sender_count: u16::MAX,
        voting: true,
        rule_sets: [LARGEST_ID; MAX_RULE_SETS],
        acknowledged: 255,
    };
    let report_codes = [255; (MAX_SENDERS as usize * 3).div_ceil(8)];
    let summary = EncodedSummary {
        round: Round(u64::MAX),
        sender_count: u16::MAX,
        rule_sets: [LARGEST_ID; MAX_RULE_SETS],
        slot_masks: [255; MAX_SLOT_MASKS],
        report_codes: &report_codes,
    };
    let part = RuleSetPart {
        rule_set: LARGEST_ID,
        index: MAX_PARTS as u8 - 1,
        part_count: MAX_PARTS as u8,
        bytes: &[255; MAX_PART_LEN],
    };
    let request = PartRequest { rule_set: LARGEST_ID, parts: u32::MAX };
    for message in [
        GossipMessage::Heartbeat(heartbeat),
        GossipMessage::Summary(summary),
        GossipMessage::PartRequest(request),
        GossipMessage::Part(part),
    ] {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_BODY_LEN, "{} bytes", bytes.len());
        assert_eq!(GossipMessage::decode(&bytes), Ok(message.clone()));
        let longer = [&bytes[..], &[0]].concat();
        assert!(GossipMessage::decode(&longer).is_err(), "a byte after the message must be an error");
    }
}

#[test]
fn an_encoded_length_beyond_the_received_bytes_is_an_error() {
    let part = RuleSetPart { rule_set: LARGEST_ID, index: 0, part_count: 1, bytes: &[] };
    let mut bytes = GossipMessage::Part(part).encode();
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert_eq!(GossipMessage::decode(&bytes), Err(GossipError::Malformed));
}
