//! Copies of golden folders, the records in their segments, and the content of the journals that open them.

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
/// Number of bytes before the payload of a record: the payload's length and its CRC-32.
const FRAME_LEN: usize = 8;
/// The first byte of an outage record's payload.
const OUTAGE_RECORD: u8 = 6;
/// Time of the outage records in the golden folders, in milliseconds since 1970: the first day of 2100. Records from the future
/// do not age, so the restored states are the same on any earlier day.
const OUTAGES_RECORDED_AT: u64 = 4_102_444_800_000;

/// The bytes of segments by file name.
pub type Segments = BTreeMap<String, Vec<u8>>;

/// The content of a journal after it was opened.
#[derive(Debug, PartialEq)]
pub struct JournalContent {
    /// In the order of the message ids.
    pub pending_messages: Vec<Message>,
    /// In the order of the message ids.
    pub pending_notifications: Vec<PendingNotification>,
    pub outage_records: Vec<(EndpointKey, OutageState)>,
    pub latest_attempt: UnixMillis,
    /// Logged warnings: each message, followed by its fields as ` name=value`.
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

/// The segments in a folder, without its lock files.
pub fn segments(folder: &Path) -> Segments {
    let files = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let named = files.map(|path| (path.file_name().expect("a name").to_string_lossy().into_owned(), path));
    let segments = named.filter(|(name, _)| name.starts_with("journal-"));
    segments.map(|(name, path)| (name, fs::read(path).expect("readable"))).collect()
}

pub fn open(folder: &Path) -> Store {
    Store::open(folder, BUDGET).expect("a journal")
}

/// Opens a journal and returns its content, with the warnings that are logged meanwhile.
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

/// A message without attempts.
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

/// An attempt that was started `after_ms` milliseconds after a fixed time in 2023.
pub fn execution(after_ms: u64) -> PossibleExecution {
    let sent_at = UnixMillis(1_700_000_000_000 + after_ms);
    PossibleExecution { sent_at, receiver: "receiver-1".into(), zone: "left".into() }
}

/// The payloads of the complete records in `bytes`.
pub fn payloads(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut payloads = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_le_bytes(bytes[..4].try_into().expect("four bytes")) as usize;
        let (record, rest) = bytes.split_at(FRAME_LEN + length);
        payloads.push(record[FRAME_LEN..].to_vec());
        bytes = rest;
    }
    payloads
}

/// The record with this payload: its frame and the payload.
pub fn record(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &crc32fast::hash(payload).to_le_bytes(), payload].concat()
}

/// Replaces the time of each outage record, which must be within `written`, by the time used in the golden folders.
pub fn with_fixed_times(segments: Segments, written: &RangeInclusive<UnixMillis>) -> Segments {
    let fixed = |mut payload: Vec<u8>| {
        if payload[0] == OUTAGE_RECORD {
            let receiver_len = u32::from_le_bytes(payload[1..5].try_into().expect("four bytes")) as usize;
            let start = 5 + receiver_len + 2;
            let time =
                UnixMillis(u64::from_le_bytes(payload[start..start + 8].try_into().expect("eight bytes")));
            assert!(written.contains(&time), "{time} is not within {written:?}");
            payload[start..start + 8].copy_from_slice(&OUTAGES_RECORDED_AT.to_le_bytes());
        }
        record(&payload)
    };
    segments
        .into_iter()
        .map(|(name, bytes)| (name, payloads(&bytes).into_iter().flat_map(fixed).collect()))
        .collect()
}

/// A log subscriber that stores each event as its message, followed by its fields as ` name=value`.
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
        let mut text = EventText::default();
        event.record(&mut text);
        self.0.lock().expect("no panic").push(text.message + &text.fields);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

#[derive(Default)]
struct EventText {
    message: String,
    /// Each field as ` name=value`.
    fields: String,
}

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        } else {
            self.fields += &format!(" {}={value:?}", field.name());
        }
    }
}
