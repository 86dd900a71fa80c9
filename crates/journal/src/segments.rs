//! The files that records are written to, oldest first.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Size from which a new segment is begun; longer than any record, and the most that a batch takes on. So a
/// segment holds less than two of these and some short records.
pub(crate) const SEGMENT: u64 = 128 * 1024;
/// What the platform counts a file in.
const BLOCK: u64 = 512;

/// The file that is written to; in tests one that fails on cue.
trait Tail: Write + Debug {
    /// Cuts what lies behind so many bytes.
    fn cut(&self, length: u64) -> io::Result<()>;
}

impl Tail for File {
    fn cut(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub bytes: u64,
}

/// Segments that this process owns; the last one is written to.
#[derive(Debug)]
pub(crate) struct Segments {
    folder: PathBuf,
    all: VecDeque<Segment>,
    file: Box<dyn Tail>,
    /// Whether the last one may end in half a record, as a write to it failed and it could not be cut.
    torn: bool,
}

impl Segments {
    /// Begins a new segment behind older ones.
    pub fn begin(folder: &Path, mut older: VecDeque<Segment>, number: u64) -> io::Result<Self> {
        let file = create(folder, number)?;
        older.push_back(Segment { number, bytes: 0 });
        Ok(Self { folder: folder.to_owned(), all: older, file: Box::new(file), torn: false })
    }

    /// Puts the segments of a process that has ended before ours.
    pub fn put_before(&mut self, mut older: VecDeque<Segment>) {
        older.append(&mut self.all);
        self.all = older;
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn oldest(&self) -> u64 {
        self.all.front().map_or(0, |s| s.number)
    }

    pub fn current(&self) -> u64 {
        self.all.back().map_or(0, |s| s.number)
    }

    /// What all of them take of the disk.
    pub fn total(&self) -> u64 {
        self.all.iter().map(|s| s.bytes.next_multiple_of(BLOCK)).sum()
    }

    /// Writes a batch, if all segments together stay within the budget.
    pub fn append(&mut self, bytes: &[u8], budget: u64) -> io::Result<()> {
        if self.total() + bytes.len() as u64 + 2 * BLOCK > budget {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has no room"));
        }
        if self.torn {
            self.leave_torn_tail()?;
        }
        let Some(segment) = self.all.back_mut() else { return Ok(()) };
        if let Err(error) = self.file.write_all(bytes) {
            // Half a record in the middle would hide what follows it.
            self.torn = self.file.cut(segment.bytes).is_err();
            return Err(error);
        }
        segment.bytes += bytes.len() as u64;
        if segment.bytes >= SEGMENT
            && let Err(error) = self.begin_next()
        {
            // What was to be written is written: this segment just grows longer.
            tracing::warn!("journal: no new segment could be begun: {error}");
        }
        Ok(())
    }

    /// Writes nothing behind half a record: either it can be cut now, or it ends its segment, where reading cuts it.
    fn leave_torn_tail(&mut self) -> io::Result<()> {
        let (number, bytes) = self.all.back().map_or((0, 0), |s| (s.number, s.bytes));
        if self.file.cut(bytes).is_err() {
            self.begin_next()?;
            let taken = fs::metadata(path(&self.folder, number)).map_or(bytes, |file| file.len());
            self.all.iter_mut().filter(|s| s.number == number).for_each(|s| s.bytes = taken);
        }
        self.torn = false;
        Ok(())
    }

    fn begin_next(&mut self) -> io::Result<()> {
        let number = self.current() + 1;
        self.file = Box::new(create(&self.folder, number)?);
        self.all.push_back(Segment { number, bytes: 0 });
        Ok(())
    }

    pub fn remove_oldest(&mut self) -> io::Result<()> {
        fs::remove_file(path(&self.folder, self.oldest()))?;
        self.all.pop_front();
        Ok(())
    }
}

pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number:08}"))
}

/// The numbers of the segments in a folder, in their order.
pub(crate) fn numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers: Vec<u64> = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix("journal-")).and_then(|n| n.parse().ok());
        numbers.extend::<Option<u64>>(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new().append(true).create_new(true).open(path(folder, number))
}

#[cfg(test)]
mod tests;
