//! Torn and corrupt segments, and outcomes written by older versions: the restored content and the logged warnings.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PendingNotification, Status};

use crate::support::{
    JournalContent, content_of, copy, execution, golden_segments, message, open, payloads, record, segments,
};

const SEGMENT: &str = "journal-00000000";
/// The first byte of the payload of an attempt's outcome.
const ATTEMPT_FINISHED_RECORD: u8 = 3;

/// The records of a segment in which three messages are accepted, two of them attempted, and one completed.
fn records() -> Vec<Vec<u8>> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    for message_id in ["m-1", "m-2", "m-3"] {
        store.accept(message(message_id));
    }
    store.commit().expect("written");
    store.start_attempt(&"m-1".into(), execution(1));
    store.start_attempt(&"m-2".into(), execution(2));
    store.commit().expect("written");
    store.finish_attempt(&"m-1".into(), 0, true);
    store.finish_attempt(&"m-2".into(), 0, false);
    store.complete(&"m-3".into(), Some(Status::Undeliverable));
    store.commit().expect("written");
    payloads(&segments(folder.path())[SEGMENT]).iter().map(|payload| record(payload)).collect()
}

fn golden(folder: &str) -> Vec<u8> {
    golden_segments(folder).remove(SEGMENT).expect("its only segment")
}

/// The expected content of a journal, without outage records.
fn expected(
    pending_messages: Vec<Message>,
    undeliverable: &[&str],
    latest_attempt: UnixMillis,
    warning: &str,
) -> JournalContent {
    let status = Status::Undeliverable;
    let notification = |id: &&str| PendingNotification { message_id: (*id).into(), status };
    let pending_notifications = undeliverable.iter().map(notification).collect();
    let warnings = Some(warning.to_string()).filter(|warning| !warning.is_empty());
    JournalContent {
        pending_messages,
        pending_notifications,
        outage_records: vec![],
        latest_attempt,
        warnings: warnings.into_iter().collect(),
    }
}

fn attempted(message_id: &str, executed_at: Option<u64>) -> Message {
    Message { attempts: 1, possibly_executed: executed_at.map(execution), ..message(message_id) }
}

#[test]
fn a_torn_tail_is_reported_and_truncated() {
    let records = records();
    let complete_records = records[..7].concat();
    let torn = [&complete_records[..], &records[7][..11]].concat();
    assert_eq!(torn, golden("torn-tail"));
    let folder = copy("torn-tail");
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None), message("m-3")];
    let warning = "journal segment truncated after its last complete record segment=0 truncated_bytes=11";
    assert_eq!(content_of(folder.path()), expected(pending, &[], execution(2).sent_at, warning));
    assert_eq!(segments(folder.path())[SEGMENT], complete_records);
}

/// The checksum of a record in the middle is wrong; the other records are replayed.
#[test]
fn a_record_with_a_wrong_checksum_is_reported_and_skipped() {
    let mut records = records();
    let offset: usize = records[..3].iter().map(Vec::len).sum();
    *records[3].last_mut().expect("a byte") ^= 1;
    assert_eq!(records.concat(), golden("damaged-record"));
    let folder = copy("damaged-record");
    let pending = vec![message("m-1"), attempted("m-2", None)];
    let warning = format!("journal record with a wrong checksum skipped segment=0 offset={offset}");
    assert_eq!(content_of(folder.path()), expected(pending, &["m-3"], execution(2).sent_at, &warning));
    assert_eq!(segments(folder.path())[SEGMENT], golden("damaged-record"));
}

/// The checksum of the record is correct; the other records are replayed.
#[test]
fn a_record_of_an_unknown_kind_is_reported_and_skipped() {
    let mut records = records();
    let offset: usize = records[..5].iter().map(Vec::len).sum();
    let mut payload = payloads(&records[5]).remove(0);
    payload[0] = 99;
    records[5] = record(&payload);
    assert_eq!(records.concat(), golden("unknown-record"));
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None)];
    let warning = format!(
        "journal record of an unknown kind or with an invalid field skipped segment=0 offset={offset}"
    );
    assert_eq!(
        content_of(copy("unknown-record").path()),
        expected(pending, &["m-3"], execution(2).sent_at, &warning)
    );
}

#[test]
fn an_invalid_record_length_is_reported_and_ends_the_segment() {
    let mut records = records();
    let complete_records = records[..4].concat();
    records[4][..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let bytes = records.concat();
    assert_eq!(bytes, golden("damaged-length"));
    let folder = copy("damaged-length");
    let mut content = content_of(folder.path());
    let truncated_len = bytes.len() - complete_records.len();
    let invalid_length = format!(
        "journal record with an invalid length; rest of the segment lost segment=0 offset={}",
        complete_records.len()
    );
    assert_eq!(
        content.warnings,
        [
            invalid_length,
            format!(
                "journal segment truncated after its last complete record segment=0 \
                 truncated_bytes={truncated_len}"
            )
        ]
    );
    content.warnings.clear();
    let pending = vec![attempted("m-1", Some(1)), message("m-2"), message("m-3")];
    assert_eq!(content, expected(pending, &[], execution(1).sent_at, ""));
    assert_eq!(segments(folder.path())[SEGMENT], complete_records);
}

/// Older versions did not store the attempt number of an outcome.
#[test]
fn an_outcome_without_number_finishes_the_attempt_in_flight() {
    let without_number = |bytes: &Vec<u8>| {
        let mut payload = payloads(bytes).remove(0);
        if payload[0] == ATTEMPT_FINISHED_RECORD {
            payload.truncate(payload.len() - 4);
        }
        record(&payload)
    };
    let bytes: Vec<u8> = records().iter().flat_map(without_number).collect();
    assert_eq!(bytes, golden("outcomes-without-number"));
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None)];
    assert_eq!(
        content_of(copy("outcomes-without-number").path()),
        expected(pending, &["m-3"], execution(2).sent_at, "")
    );
}
