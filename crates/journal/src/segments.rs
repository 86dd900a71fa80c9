//! The segment files of a journal: records are appended to the last one, and the oldest ones are deleted.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::JournalError;

/// Length at which the next segment is started, in bytes. It exceeds the length of any record, and is the maximum space that
/// the new messages of one batch may reserve. A segment is therefore shorter than twice this length plus a few short records.
pub(crate) const SEGMENT_SIZE: u64 = 128 * 1024;
/// Block size in which the platform accounts for disk usage, in bytes.
const BLOCK_SIZE: u64 = 512;
/// Prefix of a segment's file name, followed by its number.
const FILE_NAME_PREFIX: &str = "journal-";

/// The file to which records are appended; a trait so that tests can inject failures.
trait SegmentFile: Write + Debug {
    /// Truncates the file to a length in bytes.
    fn truncate(&self, length: u64) -> io::Result<()>;
}

impl SegmentFile for File {
    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

/// A segment file.
#[derive(Debug)]
pub(crate) struct Segment {
    /// The number in the file's name; segments are replayed in the order of their numbers.
    pub number: u64,
    /// Length of the complete records in bytes, or of the whole file if a torn record could not be truncated.
    pub bytes: u64,
}

/// The segments that this process owns, at least one; records are appended to the last one.
#[derive(Debug)]
pub(crate) struct Segments {
    folder: PathBuf,
    all: VecDeque<Segment>,
    file: Box<dyn SegmentFile>,
    /// Whether the last segment may end in a torn record, because a write failed and the segment could not be truncated.
    has_torn_tail: bool,
}

impl Segments {
    /// Starts segment `number` after the `older` segments.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the segment's file cannot be created.
    pub fn start(folder: &Path, mut older: VecDeque<Segment>, number: u64) -> Result<Self, JournalError> {
        let file = create(folder, number)?;
        older.push_back(Segment { number, bytes: 0 });
        Ok(Self { folder: folder.to_owned(), all: older, file: Box::new(file), has_torn_tail: false })
    }

    /// Prepends the segments of a process that has exited.
    pub fn prepend(&mut self, mut older: VecDeque<Segment>) {
        older.append(&mut self.all);
        self.all = older;
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// The number of the oldest segment.
    pub fn oldest(&self) -> u64 {
        self.all.front().map_or(0, |segment| segment.number)
    }

    /// The number of the segment to which records are appended.
    pub fn current(&self) -> u64 {
        self.all.back().map_or(0, |segment| segment.number)
    }

    /// Disk usage of all segments in bytes: each length rounded up to whole blocks.
    pub fn disk_usage(&self) -> u64 {
        self.all.iter().map(|segment| segment.bytes.next_multiple_of(BLOCK_SIZE)).sum()
    }

    /// Appends records, if the disk usage stays within `budget` bytes. After an error nothing is appended.
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] if the records do not fit; [`JournalError::Io`] if they cannot be written.
    pub fn append(&mut self, records: &[u8], budget: u64) -> Result<(), JournalError> {
        if self.disk_usage() + records.len() as u64 + 2 * BLOCK_SIZE > budget {
            return Err(JournalError::Full);
        }
        if self.has_torn_tail {
            self.recover_torn_tail()?;
        }
        self.write(records)?;
        self.start_next_if_full();
        Ok(())
    }

    fn write(&mut self, records: &[u8]) -> Result<(), JournalError> {
        let Some(segment) = self.all.back_mut() else { return Ok(()) };
        if let Err(error) = self.file.write_all(records) {
            // Replay would read the bytes of later records as the rest of a torn record.
            self.has_torn_tail = self.file.truncate(segment.bytes).is_err();
            return Err(JournalError::at(&segment_path(&self.folder, segment.number))(error));
        }
        segment.bytes += records.len() as u64;
        Ok(())
    }

    /// Truncates a torn record. If that fails, starts a new segment, so that no record follows the torn record and replay can
    /// truncate it.
    fn recover_torn_tail(&mut self) -> Result<(), JournalError> {
        let Some(torn) = self.all.back() else { return Ok(()) };
        let number = torn.number;
        let complete_bytes = torn.bytes;
        if self.file.truncate(complete_bytes).is_err() {
            self.start_next()?;
            let path = segment_path(&self.folder, number);
            let bytes_on_disk = fs::metadata(path).map_or(complete_bytes, |file| file.len());
            let torn = self.all.iter_mut().filter(|segment| segment.number == number);
            torn.for_each(|segment| segment.bytes = bytes_on_disk);
        }
        self.has_torn_tail = false;
        Ok(())
    }

    fn start_next_if_full(&mut self) {
        let is_full = self.all.back().is_some_and(|segment| segment.bytes >= SEGMENT_SIZE);
        if is_full && let Err(error) = self.start_next() {
            tracing::warn!(%error, "next journal segment not started; current segment exceeds its size limit");
        }
    }

    fn start_next(&mut self) -> Result<(), JournalError> {
        let number = self.current() + 1;
        self.file = Box::new(create(&self.folder, number)?);
        self.all.push_back(Segment { number, bytes: 0 });
        Ok(())
    }

    /// Deletes the oldest segment, which must not be the only one.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the segment's file cannot be deleted.
    pub fn remove_oldest(&mut self) -> Result<(), JournalError> {
        let path = segment_path(&self.folder, self.oldest());
        fs::remove_file(&path).map_err(JournalError::at(&path))?;
        self.all.pop_front();
        Ok(())
    }
}

/// The path of a segment's file.
pub(crate) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FILE_NAME_PREFIX}{number:08}"))
}

/// The numbers of the segments in a folder, in ascending order; other files are ignored.
///
/// # Errors
///
/// [`JournalError::Io`] if the folder cannot be read.
pub(crate) fn segment_numbers(folder: &Path) -> Result<Vec<u64>, JournalError> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder).map_err(JournalError::at(folder))? {
        let name = entry.map_err(JournalError::at(folder))?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(FILE_NAME_PREFIX));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn create(folder: &Path, number: u64) -> Result<File, JournalError> {
    let path = segment_path(folder, number);
    OpenOptions::new().append(true).create_new(true).open(&path).map_err(JournalError::at(&path))
}

#[cfg(test)]
mod tests;
