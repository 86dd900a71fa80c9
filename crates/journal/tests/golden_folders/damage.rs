//! Torn and damaged segments, and outcomes that older versions wrote: what is read of them, and what is reported.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, Status};

use crate::support::{Told, copy, golden_segments, message, open, payloads, ran, record, segments, told};

const SEGMENT: &str = "journal-00000000";
/// The first byte of an outcome's payload.
const OUTCOME: u8 = 3;

/// The records of one segment, each by itself.
fn records() -> Vec<Vec<u8>> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    for message_id in ["m-1", "m-2", "m-3"] {
        store.accept(message(message_id));
    }
    store.commit().expect("written");
    store.start_attempt(&"m-1".into(), ran(1));
    store.start_attempt(&"m-2".into(), ran(2));
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

/// What is told where everything was read, but for what was lost.
fn expected(open: Vec<Message>, notices: &[&str], latest_attempt: UnixMillis, report: &str) -> Told {
    let owed = notices.iter().map(|message_id| (message_id.to_string(), Status::Undeliverable)).collect();
    let reports = Some(report.to_string()).filter(|report| !report.is_empty());
    Told { open, owed, outage_records: vec![], latest_attempt, reports: reports.into_iter().collect() }
}

fn tried(message_id: &str, ran_at: Option<u64>) -> Message {
    Message { attempts: 1, possibly_executed: ran_at.map(ran), ..message(message_id) }
}

#[test]
fn a_torn_tail_is_reported_and_cut_and_all_before_it_is_read() {
    let records = records();
    let whole = records[..7].concat();
    let torn = [&whole[..], &records[7][..11]].concat();
    assert_eq!(torn, golden("torn-tail"));
    let folder = copy("torn-tail");
    let open = vec![tried("m-1", Some(1)), tried("m-2", None), message("m-3")];
    let report = "journal: segment 0 ends in 11 torn bytes: cut";
    assert_eq!(told(folder.path()), expected(open, &[], ran(2).at, report));
    assert_eq!(segments(folder.path())[SEGMENT], whole);
}

#[test]
fn a_damaged_record_in_the_middle_is_reported_and_skipped_and_the_others_are_read() {
    let mut records = records();
    let at: usize = records[..3].iter().map(Vec::len).sum();
    *records[3].last_mut().expect("a byte") ^= 1;
    assert_eq!(records.concat(), golden("damaged-record"));
    let folder = copy("damaged-record");
    let open = vec![message("m-1"), tried("m-2", None)];
    let report = format!("journal: segment 0 has a damaged record at byte {at}: skipped");
    assert_eq!(told(folder.path()), expected(open, &["m-3"], ran(2).at, &report));
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
    let open = vec![tried("m-1", Some(1)), tried("m-2", None)];
    let report = format!("journal: segment 0 has an unreadable record at byte {at}: skipped");
    assert_eq!(told(copy("unknown-record").path()), expected(open, &["m-3"], ran(2).at, &report));
}

#[test]
fn a_length_that_cannot_be_is_reported_and_ends_the_segment() {
    let mut records = records();
    let whole = records[..4].concat();
    records[4][..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let bytes = records.concat();
    assert_eq!(bytes, golden("damaged-length"));
    let folder = copy("damaged-length");
    let mut told = told(folder.path());
    let cut = bytes.len() - whole.len();
    let damaged = format!("journal: segment 0 is damaged at byte {}: the rest of it is lost", whole.len());
    assert_eq!(told.reports, [damaged, format!("journal: segment 0 ends in {cut} torn bytes: cut")]);
    told.reports.clear();
    let open = vec![tried("m-1", Some(1)), message("m-2"), message("m-3")];
    assert_eq!(told, expected(open, &[], ran(1).at, ""));
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
    let open = vec![tried("m-1", Some(1)), tried("m-2", None)];
    assert_eq!(told(copy("outcomes-without-number").path()), expected(open, &["m-3"], ran(2).at, ""));
}
