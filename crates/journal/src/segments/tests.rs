//! Writes that fail before all bytes are written.

use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::io::Write;
use std::rc::Rc;

use rudderspindle_clock::UnixMillis;

use super::{SegmentFile, Segments, segment_numbers, segment_path};
use crate::JournalError;
use crate::message::Message;
use crate::record::append_accepted;
use crate::replay::{ReplayedState, replay_segments};

/// A file in which one write fails after some bytes, as on a full disk, and in which the first truncations fail.
#[derive(Debug)]
struct FailingFile {
    file: File,
    /// Number of bytes that are written before the next failure; `None` if no write fails.
    bytes_until_failure: Rc<Cell<Option<usize>>>,
    /// Number of truncations that still fail.
    failing_truncations: Cell<usize>,
}

impl Write for FailingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.bytes_until_failure.get() {
            Some(0) => {
                self.bytes_until_failure.set(None);
                Err(io::ErrorKind::StorageFull.into())
            }
            Some(accepted_len) => {
                self.bytes_until_failure.set(Some(0));
                self.file.write(&bytes[..accepted_len])
            }
            None => self.file.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SegmentFile for FailingFile {
    fn truncate(&self, length: u64) -> io::Result<()> {
        if self.failing_truncations.get() == 0 {
            return self.file.set_len(length);
        }
        self.failing_truncations.set(self.failing_truncations.get() - 1);
        Err(io::Error::other("truncation rejected by the test"))
    }
}

fn record(message_id: &str) -> Vec<u8> {
    let mut record = Vec::new();
    let message = Message {
        message_id: message_id.into(),
        class: "safe".into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: None,
        deadline: UnixMillis(5),
        body: vec![b'x'; 300].into(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    };
    append_accepted(&mut record, &message);
    record
}

/// Replay reads every record that is written after a failed write. The torn record is truncated at once, before the next batch,
/// or never.
#[test]
fn a_failed_write_hides_no_later_record() {
    for failing_truncations in 0..=2 {
        let folder = tempfile::tempdir().expect("a folder");
        let mut segments = Segments::start(folder.path(), VecDeque::new(), 0).expect("a segment");
        let bytes_until_failure = Rc::new(Cell::new(None));
        let file = OpenOptions::new().append(true).open(segment_path(folder.path(), 0)).expect("the segment");
        segments.file = Box::new(FailingFile {
            file,
            bytes_until_failure: bytes_until_failure.clone(),
            failing_truncations: Cell::new(failing_truncations),
        });
        segments.append(&record("before"), u64::MAX).expect("written");
        bytes_until_failure.set(Some(150));
        let error = segments.append(&record("half"), u64::MAX).expect_err("the disk is full");
        let JournalError::Io { path, source } = error else { panic!("{error}") };
        assert_eq!(source.kind(), io::ErrorKind::StorageFull);
        assert_eq!(path, segment_path(folder.path(), 0));
        for message_id in ["after", "and after"] {
            segments.append(&record(message_id), u64::MAX).expect("written");
        }
        // The lengths on disk are read before the replay, which truncates torn records.
        let numbers = segment_numbers(folder.path()).expect("readable");
        let files = numbers.iter().map(|&number| segment_path(folder.path(), number));
        let bytes_on_disk: u64 = files.map(|file| file.metadata().expect("a segment").len()).sum();
        let counted_bytes: u64 = segments.all.iter().map(|segment| segment.bytes).sum();
        let mut state = ReplayedState::default();
        replay_segments(folder.path(), &numbers, &mut state).expect("readable");
        let mut replayed_ids: Vec<&str> =
            state.entries.pending_messages().map(|message| &*message.message_id).collect();
        replayed_ids.sort_unstable();
        assert_eq!(replayed_ids, ["after", "and after", "before"], "{failing_truncations} truncations fail");
        assert_eq!(state.entries.pending_notifications().count(), 0);
        assert_eq!(counted_bytes, bytes_on_disk, "{failing_truncations} truncations fail");
    }
}
