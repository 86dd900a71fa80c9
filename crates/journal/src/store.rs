//! The journal: what is on record, and the batch that is to be.

mod succession;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};

use crate::MessageId;
use crate::claim::FolderLock;
use crate::memory::{EndpointKey, OutageRecord, OutageRecords, OutageState};
use crate::message::{Message, Notice, PossibleExecution, Status, TakenOver, wall_ms};
use crate::record::{ATTEMPT, OUTCOME, SETTLED, put, put_ended, put_memory, put_ran, put_taken, put_text};
use crate::replay::{Contents, Entry, State, open_mut, read};
use crate::segments::{SEGMENT, Segments, numbers};

/// Kept free between batches: for one batch (with short records), and for one segment that is moved.
const RESERVE: u64 = 5 * SEGMENT;
/// What is taken on stays so far below that moving it always frees enough.
const HEADROOM: u64 = 8 * SEGMENT;
/// A successor's segments are numbered so far behind those of the owner, which goes on writing for a while.
const GENERATION: u64 = 1_000_000;

/// The journal and what it says.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    claim: FolderLock,
    /// What all files may hold, and what ours may: half of it while two processes write.
    disk: u64,
    budget: u64,
    segments: Segments,
    /// The batch: what has come of messages, and then what is taken on and sent, which has not happened
    /// unless it is written.
    facts: Vec<u8>,
    starts: Vec<u8>,
    entries: HashMap<MessageId, Entry>,
    outage_records: OutageRecords,
    latest_attempt: u64,
    /// Room that all entries need.
    live: u64,
}

impl Store {
    /// Reads the journal in `folder`, cuts a torn tail and begins a new segment. If another process owns it,
    /// nothing is read, and half of the `budget` (bytes of all files together) is ours until [`Store::succeed`].
    ///
    /// # Errors
    ///
    /// What the file system says; [`io::ErrorKind::ResourceBusy`] if two processes use the folder already.
    pub fn open(folder: &Path, budget: u64) -> io::Result<Self> {
        let claim = FolderLock::of(folder)?;
        let numbers = numbers(folder)?;
        let mut contents = Contents::default();
        let (older, number, ours) = if claim.is_owner() {
            let next = numbers.last().map_or(0, |n| n + 1);
            (read(folder, &numbers, &mut contents)?, next, budget)
        } else {
            (VecDeque::new(), numbers.last().map_or(0, |n| n + GENERATION), budget / 2)
        };
        let segments = Segments::begin(folder, older, number)?;
        let Contents { entries, outage_records, latest_attempt } = contents;
        let live = entries.iter().map(|(message_id, entry)| entry.room(message_id)).sum();
        let folder = folder.to_owned();
        let mut store = Self {
            folder,
            claim,
            disk: budget,
            budget: ours,
            segments,
            facts: Vec::new(),
            starts: Vec::new(),
            entries,
            outage_records,
            latest_attempt,
            live,
        };
        // Times that have not come yet tell each later start, too, that the clock was set back: they go with the
        // segments that hold them.
        let most = if latest_attempt > wall_ms() { 0 } else { ours.saturating_sub(RESERVE) };
        store.make_room_to(most)?;
        Ok(store)
    }

    /// Messages that are still owed their end.
    pub fn open_messages(&self) -> impl Iterator<Item = &Message> {
        self.entries.values().filter_map(|e| match &e.state {
            State::Open(message) => Some(message),
            State::Owed(_) => None,
        })
    }

    /// A message that is still owed its end.
    pub fn open_message(&self, message_id: &MessageId) -> Option<&Message> {
        match &self.entries.get(message_id)?.state {
            State::Open(message) => Some(message),
            State::Owed(_) => None,
        }
    }

    /// Notices that have not been acknowledged.
    pub fn owed(&self) -> impl Iterator<Item = Notice> + '_ {
        self.entries.iter().filter_map(|(message_id, e)| match e.state {
            State::Owed(status) => Some(Notice { message_id: message_id.clone(), status }),
            State::Open(_) => None,
        })
    }

    /// When the latest attempt of an earlier process went out, in milliseconds of the wall clock since 1970; 0 if none
    /// is on record. If that is still to come, the clock was set back, and no time on record tells how long ago it was.
    pub fn latest_attempt(&self) -> u64 {
        self.latest_attempt
    }

    /// Whether an id is still owed its end or a notice.
    pub fn knows(&self, message_id: &MessageId) -> bool {
        self.entries.contains_key(message_id)
    }

    /// Whether so much more can be taken on and still be kept for good.
    pub fn has_room(&self, more: u64) -> bool {
        self.live + more <= self.budget.saturating_sub(HEADROOM)
    }

    /// Whether a batch of so many bytes can be written at once.
    pub fn fits_batch(bytes: u64) -> bool {
        bytes <= SEGMENT
    }

    /// A message is taken on, once the batch is written.
    pub fn take(&mut self, message: Message) {
        put_taken(&mut self.starts, &message);
        self.live += message.room();
        let (message_id, segment) = (message.message_id.clone(), self.segments.current());
        self.entries.insert(message_id, Entry { segment, state: State::Open(message) });
    }

    /// An attempt that is about to go out.
    pub fn attempt(&mut self, message_id: &MessageId, ran: PossibleExecution) {
        let Some(message) = open_mut(&mut self.entries, message_id) else { return };
        put(&mut self.starts, ATTEMPT, |p| {
            put_text(p, message_id);
            p.extend(message.attempts.to_le_bytes());
            put_ran(p, Some(&ran));
        });
        message.begin(message.attempts, Some(ran));
    }

    /// An attempt, counted from 0, has ended.
    pub fn outcome(&mut self, message_id: &MessageId, attempt: u32, possibly_executed: bool) {
        let Some(message) = open_mut(&mut self.entries, message_id) else { return };
        put(&mut self.facts, OUTCOME, |p| {
            put_text(p, message_id);
            p.push(u8::from(possibly_executed));
            p.extend(attempt.to_le_bytes());
        });
        message.end(Some(attempt), possibly_executed);
    }

    /// A message has ended; `owed` is the notice that its platform must get.
    pub fn end(&mut self, message_id: &MessageId, owed: Option<Status>) {
        let Some(entry) = self.entries.remove(message_id) else { return };
        self.live -= entry.room(message_id);
        put_ended(&mut self.facts, message_id, owed);
        if let Some(status) = owed {
            let entry = Entry { segment: self.segments.current(), state: State::Owed(status) };
            self.live += entry.room(message_id);
            self.entries.insert(message_id.clone(), entry);
        }
    }

    /// A notice has been acknowledged.
    pub fn settled(&mut self, message_id: &MessageId) {
        let Some(entry) = self.entries.remove(message_id) else { return };
        self.live -= entry.room(message_id);
        put(&mut self.facts, SETTLED, |p| put_text(p, message_id));
    }

    /// What to know of a partner, or a receiver, if this process ends: in place of what was to be known before.
    pub fn remember(&mut self, place: EndpointKey, outage: Option<OutageState>) {
        let (segment, at) = (self.segments.current(), wall_ms());
        put_memory(&mut self.facts, &place, at, outage);
        self.outage_records.put(place, outage.map(|outage| OutageRecord { segment, at, outage }));
    }

    /// What is to be known of partners and receivers, as it is now.
    pub fn outage_records(&self) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        self.outage_records.at(wall_ms())
    }

    /// Writes the batch. After an error nothing was taken on or sent; what has come of messages is kept for
    /// the next batch.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.facts.is_empty() && self.starts.is_empty() {
            return Ok(());
        }
        let facts = self.facts.len();
        let mut batch = std::mem::take(&mut self.facts);
        batch.append(&mut self.starts);
        if let Err(error) = self.segments.append(&batch, self.budget) {
            batch.truncate(facts);
            self.facts = batch;
            return Err(error);
        }
        if let Err(error) = self.make_room() {
            tracing::warn!("journal: no room could be made: {error}");
        }
        Ok(())
    }

    /// Forgets a message whose batch could not be written.
    pub fn forget(&mut self, message_id: &MessageId) {
        if let Some(entry) = self.entries.remove(message_id) {
            self.live -= entry.room(message_id);
        }
    }

    fn make_room(&mut self) -> io::Result<()> {
        self.make_room_to(self.budget.saturating_sub(RESERVE))
    }

    /// Moves what is live out of the oldest segments until no more than so much is used.
    fn make_room_to(&mut self, most: u64) -> io::Result<()> {
        for _ in 1..self.segments.len() {
            if self.segments.total() <= most {
                break;
            }
            let oldest = self.segments.oldest();
            let current = self.segments.current();
            let mut moved = Vec::new();
            for (message_id, entry) in self.entries.iter_mut().filter(|(_, e)| e.segment == oldest) {
                match &entry.state {
                    State::Open(message) => put_taken(&mut moved, message),
                    State::Owed(status) => put_ended(&mut moved, message_id, Some(*status)),
                }
            }
            for (place, memory) in self.outage_records.of_segment(oldest, wall_ms()) {
                put_memory(&mut moved, place, memory.at, Some(memory.outage));
            }
            self.segments.append(&moved, self.budget)?;
            self.outage_records
                .of_segment(oldest, wall_ms())
                .for_each(|(_, memory)| memory.segment = current);
            self.entries.values_mut().filter(|e| e.segment == oldest).for_each(|e| e.segment = current);
            self.segments.remove_oldest()?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
