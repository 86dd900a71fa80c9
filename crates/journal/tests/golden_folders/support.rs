//! Copies of golden folders, the records in their segments, and all that a journal tells when it opens one.

use std::collections::BTreeMap;
use std::fs;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, OutageState, PossibleExecution, Status, Store};
use tempfile::TempDir;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

pub const BUDGET: u64 = 3_000_000;
/// Bytes of a record before its payload: its length and its CRC-32.
const FRAME: usize = 8;
/// The first byte of an outage memory's payload.
const OUTAGE_RECORD: u8 = 6;
/// When the outage memories of the golden folders were written, as far as they say, ms since 1970: the first day of 2100.
/// What was written by a clock that is ahead does not age, so that these read the same on any day before.
const MEMORIES_WRITTEN: u64 = 4_102_444_800_000;

/// Segments by their files' names.
pub type Segments = BTreeMap<String, Vec<u8>>;

/// All that a journal says when it was opened.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub open: Vec<Message>,
    pub owed: Vec<(String, Status)>,
    pub outage_records: Vec<(u16, String, OutageState)>,
    pub latest_attempt: UnixMillis,
    /// Warnings of damage.
    pub reports: Vec<String>,
}

pub fn golden_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

pub fn golden_segments(name: &str) -> Segments {
    segments(&golden_folder(name))
}

/// A copy of a golden folder, to be opened.
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

/// Opens a journal; what it says, and the warnings that were written meanwhile.
pub fn told(folder: &Path) -> Told {
    let warnings = Arc::new(Mutex::new(Vec::new()));
    let store = tracing::subscriber::with_default(Warnings(warnings.clone()), || open(folder));
    let reports = warnings.lock().expect("no panic").clone();
    let mut open: Vec<Message> = store.pending_messages().cloned().collect();
    open.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let mut owed: Vec<(String, Status)> =
        store.pending_notifications().map(|n| (n.message_id.to_string(), n.status)).collect();
    owed.sort_by(|a, b| a.0.cmp(&b.0));
    let outage_records = store.outage_records();
    let outage_records = outage_records
        .map(|(endpoint, outage)| (endpoint.destination, endpoint.receiver.to_string(), outage))
        .collect();
    Told { open, owed, outage_records, latest_attempt: store.latest_attempt(), reports }
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

/// An attempt so many milliseconds after a fixed time of 2023.
pub fn ran(after: u64) -> PossibleExecution {
    let at = UnixMillis(1_700_000_000_000 + after);
    PossibleExecution { at, receiver: "receiver-1".into(), zone: "left".into() }
}

/// The payloads of whole records.
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

/// Segments whose outage memories were written at a time of the wall clock, as if at that of the golden folders.
pub fn with_fixed_times(segments: Segments, written: &RangeInclusive<UnixMillis>) -> Segments {
    let fixed = |mut payload: Vec<u8>| {
        if payload[0] == OUTAGE_RECORD {
            let name = u32::from_le_bytes(payload[1..5].try_into().expect("four bytes")) as usize;
            let at = 5 + name + 2;
            let time = UnixMillis(u64::from_le_bytes(payload[at..at + 8].try_into().expect("eight bytes")));
            assert!(written.contains(&time), "{time} is not within {written:?}");
            payload[at..at + 8].copy_from_slice(&MEMORIES_WRITTEN.to_le_bytes());
        }
        record(&payload)
    };
    segments
        .into_iter()
        .map(|(name, bytes)| (name, payloads(&bytes).into_iter().flat_map(fixed).collect()))
        .collect()
}

/// Keeps the texts of warnings.
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
