//! Writes that fail half-way.

use std::cell::Cell;
use std::rc::Rc;

use super::*;
use crate::message::Message;
use crate::record::put_taken;
use crate::replay::read;

/// A file of which one write stops after so many bytes, as on a disk that is full, and which cannot be cut so often.
#[derive(Debug)]
struct CorruptRecord {
    file: File,
    writes: Rc<Cell<Option<usize>>>,
    cuts_that_fail: Rc<Cell<usize>>,
}

impl Write for CorruptRecord {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.writes.get() {
            Some(0) => {
                self.writes.set(None);
                Err(io::ErrorKind::StorageFull.into())
            }
            Some(left) => {
                self.writes.set(Some(0));
                self.file.write(&bytes[..left])
            }
            None => self.file.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Tail for CorruptRecord {
    fn cut(&self, length: u64) -> io::Result<()> {
        if self.cuts_that_fail.get() == 0 {
            return self.file.set_len(length);
        }
        self.cuts_that_fail.set(self.cuts_that_fail.get() - 1);
        Err(io::Error::other("it cannot be cut"))
    }
}

fn record(message_id: &str) -> Vec<u8> {
    let mut record = Vec::new();
    let body = vec![b'x'; 300].into();
    let (possibly_executed, out, key) = (None, None, None);
    let (class, tenant, destination) = ("safe".into(), "acme".into(), 7);
    let (message_id, deadline, attempts) = (message_id.into(), 5, 0);
    let message = Message {
        message_id,
        class,
        tenant,
        destination,
        key,
        deadline,
        body,
        attempts,
        possibly_executed,
        out,
    };
    put_taken(&mut record, &message);
    record
}

/// The cut may succeed at once, before the next batch, or never.
#[test]
fn half_a_record_of_a_write_that_failed_hides_nothing_that_is_written_later() {
    for cuts_that_fail in 0..=2 {
        let folder = tempfile::tempdir().expect("a folder");
        let mut segments = Segments::begin(folder.path(), VecDeque::new(), 0).expect("a segment");
        let writes = Rc::new(Cell::new(None));
        let file = OpenOptions::new().append(true).open(path(folder.path(), 0)).expect("the segment");
        segments.file = Box::new(CorruptRecord {
            file,
            writes: writes.clone(),
            cuts_that_fail: Rc::new(Cell::new(cuts_that_fail)),
        });
        segments.append(&record("before"), u64::MAX).expect("written");
        writes.set(Some(150));
        let error = segments.append(&record("half"), u64::MAX).expect_err("the disk is full");
        assert_eq!(error.kind(), io::ErrorKind::StorageFull);
        for message_id in ["after", "and after"] {
            segments.append(&record(message_id), u64::MAX).expect("written");
        }
        // Reading cuts.
        let on_disk = numbers(folder.path()).expect("readable").into_iter();
        let on_disk: u64 = on_disk.map(|n| path(folder.path(), n).metadata().expect("a file").len()).sum();
        let counted: u64 = segments.all.iter().map(|s| s.bytes).sum();
        let mut contents = Default::default();
        read(folder.path(), &numbers(folder.path()).expect("readable"), &mut contents).expect("readable");
        let mut known: Vec<_> = contents.entries.keys().map(|message_id| &**message_id).collect();
        known.sort_unstable();
        assert_eq!(known, ["after", "and after", "before"], "{cuts_that_fail} cuts fail");
        assert_eq!(counted, on_disk, "{cuts_that_fail} cuts fail");
    }
}
