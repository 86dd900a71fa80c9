//! Torn and damaged segments, and outcomes written by older versions: the restored content and the warnings.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PendingNotification, Status};

use crate::support::{
    JournalContent, content_of, copy, execution, golden_segments, message, open, payloads, record, segments,
};

const SEGMENT: &str = "journal-00000000";
/// The first byte of an outcome's payload.
const OUTCOME: u8 = 3;

/// The records of one segment.
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
    report: &str,
) -> JournalContent {
    let status = Status::Undeliverable;
    let notification = |id: &&str| PendingNotification { message_id: (*id).into(), status };
    let pending_notifications = undeliverable.iter().map(notification).collect();
    let warnings = Some(report.to_string()).filter(|report| !report.is_empty());
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
fn a_torn_tail_is_reported_and_cut_and_all_before_it_is_read() {
    let records = records();
    let whole = records[..7].concat();
    let torn = [&whole[..], &records[7][..11]].concat();
    assert_eq!(torn, golden("torn-tail"));
    let folder = copy("torn-tail");
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None), message("m-3")];
    let report = "journal: segment 0 ends in 11 torn bytes: cut";
    assert_eq!(content_of(folder.path()), expected(pending, &[], execution(2).at, report));
    assert_eq!(segments(folder.path())[SEGMENT], whole);
}

#[test]
fn a_damaged_record_in_the_middle_is_reported_and_skipped_and_the_others_are_read() {
    let mut records = records();
    let at: usize = records[..3].iter().map(Vec::len).sum();
    *records[3].last_mut().expect("a byte") ^= 1;
    assert_eq!(records.concat(), golden("damaged-record"));
    let folder = copy("damaged-record");
    let pending = vec![message("m-1"), attempted("m-2", None)];
    let report = format!("journal: segment 0 has a damaged record at byte {at}: skipped");
    assert_eq!(content_of(folder.path()), expected(pending, &["m-3"], execution(2).at, &report));
    assert_eq!(segments(folder.path())[SEGMENT], golden("damaged-record"));
}

#[test]
fn a_whole_record_of_an_unknown_kind_is_reported_and_skipped_and_the_others_are_read() {
    let mut records = records();
    let at: usize = records[..5].iter().map(Vec::len).sum();
    let mut payload = payloads(&records[5]).remove(0);
    payload[0] = 99;
    records[5] = record(&payload);
    assert_eq!(records.concat(), golden("unknown-record"));
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None)];
    let report = format!("journal: segment 0 has an unreadable record at byte {at}: skipped");
    assert_eq!(
        content_of(copy("unknown-record").path()),
        expected(pending, &["m-3"], execution(2).at, &report)
    );
}

#[test]
fn a_length_that_cannot_be_is_reported_and_ends_the_segment() {
    let mut records = records();
    let whole = records[..4].concat();
    records[4][..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let bytes = records.concat();
    assert_eq!(bytes, golden("damaged-length"));
    let folder = copy("damaged-length");
    let mut content = content_of(folder.path());
    let cut = bytes.len() - whole.len();
    let damaged = format!("journal: segment 0 is damaged at byte {}: the rest of it is lost", whole.len());
    assert_eq!(content.warnings, [damaged, format!("journal: segment 0 ends in {cut} torn bytes: cut")]);
    content.warnings.clear();
    let pending = vec![attempted("m-1", Some(1)), message("m-2"), message("m-3")];
    assert_eq!(content, expected(pending, &[], execution(1).at, ""));
    assert_eq!(segments(folder.path())[SEGMENT], whole);
}

#[test]
fn outcomes_without_the_number_of_their_attempt_are_of_the_one_that_is_out() {
    let without_number = |bytes: &Vec<u8>| {
        let mut payload = payloads(bytes).remove(0);
        if payload[0] == OUTCOME {
            payload.truncate(payload.len() - 4);
        }
        record(&payload)
    };
    let bytes: Vec<u8> = records().iter().flat_map(without_number).collect();
    assert_eq!(bytes, golden("outcomes-without-number"));
    let pending = vec![attempted("m-1", Some(1)), attempted("m-2", None)];
    assert_eq!(
        content_of(copy("outcomes-without-number").path()),
        expected(pending, &["m-3"], execution(2).at, "")
    );
}
