//! Copies of golden folders, the records in their segments, and the content of a journal that opens them.

use std::collections::BTreeMap;
use std::fs;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{
    EndpointKey, Message, OutageState, PendingNotification, PossibleExecution, Store,
};
use tempfile::TempDir;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

pub const BUDGET: u64 = 3_000_000;
/// Bytes of a record before its payload: its length and its CRC-32.
const FRAME: usize = 8;
/// The first byte of an outage record's payload.
const OUTAGE_RECORD: u8 = 6;
/// Recorded time of the outage records in the golden folders, in milliseconds since 1970: the first day of 2100. Records from
/// the future do not age, so their state is the same on any earlier day.
const OUTAGES_RECORDED_AT: u64 = 4_102_444_800_000;

/// Segments by their files' names.
pub type Segments = BTreeMap<String, Vec<u8>>;

/// The content of a journal after it was opened.
#[derive(Debug, PartialEq)]
pub struct JournalContent {
    /// In the order of their ids.
    pub pending_messages: Vec<Message>,
    /// In the order of their messages' ids.
    pub pending_notifications: Vec<PendingNotification>,
    pub outage_records: Vec<(EndpointKey, OutageState)>,
    pub latest_attempt: UnixMillis,
    /// Warnings of damage.
    pub warnings: Vec<String>,
}

pub fn golden_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

pub fn golden_segments(name: &str) -> Segments {
    segments(&golden_folder(name))
}

/// A copy of a golden folder.
pub fn copy(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("a folder");
    for (file, bytes) in golden_segments(name) {
        fs::write(copy.path().join(file), bytes).expect("a copy");
    }
    copy
}

/// The segments in a folder; lock files are left out.
pub fn segments(folder: &Path) -> Segments {
    let files = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let named = files.map(|path| (path.file_name().expect("a name").to_string_lossy().into_owned(), path));
    let segments = named.filter(|(name, _)| name.starts_with("journal-"));
    segments.map(|(name, path)| (name, fs::read(path).expect("readable"))).collect()
}

pub fn open(folder: &Path) -> Store {
    Store::open(folder, BUDGET).expect("a journal")
}

/// Opens a journal and returns its content, with the warnings that were logged.
pub fn content_of(folder: &Path) -> JournalContent {
    let warnings = Arc::new(Mutex::new(Vec::new()));
    let store = tracing::subscriber::with_default(Warnings(warnings.clone()), || open(folder));
    let warnings = warnings.lock().expect("no panic").clone();
    let mut pending_messages: Vec<Message> = store.pending_messages().cloned().collect();
    pending_messages.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let mut pending_notifications: Vec<PendingNotification> = store.pending_notifications().collect();
    pending_notifications.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let outage_records =
        store.outage_records().map(|(endpoint, outage)| (endpoint.clone(), outage)).collect();
    JournalContent {
        pending_messages,
        pending_notifications,
        outage_records,
        latest_attempt: store.latest_attempt(),
        warnings,
    }
}

/// A message without a history.
pub fn message(message_id: &str) -> Message {
    Message {
        message_id: message_id.into(),
        class: "safe".into(),
        tenant: "acme".into(),
        destination: 513,
        idempotency_key: None,
        deadline: UnixMillis(1_700_000_020_000),
        body: (&b"text"[..]).into(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

/// An attempt `after` milliseconds after a fixed time in 2023.
pub fn execution(after: u64) -> PossibleExecution {
    let at = UnixMillis(1_700_000_000_000 + after);
    PossibleExecution { at, receiver: "receiver-1".into(), zone: "left".into() }
}

/// The payloads of complete records.
pub fn payloads(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut payloads = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_le_bytes(bytes[..4].try_into().expect("four bytes")) as usize;
        let (record, rest) = bytes.split_at(FRAME + length);
        payloads.push(record[FRAME..].to_vec());
        bytes = rest;
    }
    payloads
}

/// A payload as a record.
pub fn record(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &crc32fast::hash(payload).to_le_bytes(), payload].concat()
}

/// Replaces the times of outage records, which must be within `written`, by that of the golden folders.
pub fn with_fixed_times(segments: Segments, written: &RangeInclusive<UnixMillis>) -> Segments {
    let fixed = |mut payload: Vec<u8>| {
        if payload[0] == OUTAGE_RECORD {
            let name = u32::from_le_bytes(payload[1..5].try_into().expect("four bytes")) as usize;
            let at = 5 + name + 2;
            let time = UnixMillis(u64::from_le_bytes(payload[at..at + 8].try_into().expect("eight bytes")));
            assert!(written.contains(&time), "{time} is not within {written:?}");
            payload[at..at + 8].copy_from_slice(&OUTAGES_RECORDED_AT.to_le_bytes());
        }
        record(&payload)
    };
    segments
        .into_iter()
        .map(|(name, bytes)| (name, payloads(&bytes).into_iter().flat_map(fixed).collect()))
        .collect()
}

/// Stores the messages of warnings.
struct Warnings(Arc<Mutex<Vec<String>>>);

impl Subscriber for Warnings {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        event.record(&mut Texts(&self.0));
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

struct Texts<'a>(&'a Mutex<Vec<String>>);

impl Visit for Texts<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.0.lock().expect("no panic").push(format!("{value:?}"));
        }
    }
}
