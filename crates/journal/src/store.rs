//! Segments of records, and what they say.

use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;

use crate::claim::Claim;
use crate::memory::{Memories, Memory, Place, Trouble};
use crate::{MAX_BODY, Txn};

/// Size from which a new segment is begun; longer than any record, and the most that a batch takes on. So a
/// segment holds less than two of these and some short records.
const SEGMENT: u64 = 128 * 1024;
/// Kept free between batches: for one batch (with short records), and for one segment that is moved.
const RESERVE: u64 = 5 * SEGMENT;
/// What is taken on stays so far below that moving it always frees enough.
const HEADROOM: u64 = 8 * SEGMENT;
/// Bytes of a record before its payload.
const FRAME: usize = 8;
/// What the platform counts a file in.
const BLOCK: u64 = 512;
/// A payload longer than this is damage.
const MAX_PAYLOAD: usize = MAX_BODY + 4096;

/// A successor's segments are numbered so far behind those of the owner, which goes on writing for a while.
const GENERATION: u64 = 1_000_000;

const TAKEN: u8 = 1;
const ATTEMPT: u8 = 2;
const OUTCOME: u8 = 3;
const ENDED: u8 = 4;
const SETTLED: u8 = 5;
const MEMORY: u8 = 6;

/// Milliseconds of the wall clock since 1970: the one clock that outlasts a process.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Where and when an attempt went out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Milliseconds of the wall clock since 1970.
    pub at: u64,
    /// The receiver's id.
    pub receiver: Rc<str>,
    /// Its zone's name.
    pub zone: Rc<str>,
}

/// A message taken on, with its history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub txn: Txn,
    /// Its class's name.
    pub class: Rc<str>,
    /// Its tenant's name; empty where there are none.
    pub tenant: Rc<str>,
    /// The number of its destination.
    pub destination: u16,
    /// What its receivers know a repeat by, as the client gave it.
    pub key: Option<Bytes>,
    /// When its time is up, in milliseconds of the wall clock since 1970.
    pub deadline: u64,
    /// What goes on unchanged, [`MAX_BODY`] bytes at most.
    pub body: Bytes,
    /// Attempts that were on record before their first byte.
    pub attempts: u32,
    /// The first attempt that is known to have run, or may have.
    pub may_have_run: Option<Ran>,
    /// The attempt that has no outcome yet.
    pub out: Option<Ran>,
}

impl Message {
    /// Room that taking it on needs: its record again with a history, and its notice.
    pub fn room(&self) -> u64 {
        (self.body.len() + self.key.as_ref().map_or(0, Bytes::len) + 2 * self.txn.len() + 768) as u64
    }
}

/// How a message that was taken on and not delivered ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Its id.
    pub txn: Txn,
    /// How it ended.
    pub status: Status,
}

/// The end of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Failed: nothing is promised.
    Undeliverable,
    /// The client may come again, after so many milliseconds if told.
    Deferred(Option<u64>),
}

#[derive(Debug)]
struct Segment {
    number: u64,
    bytes: u64,
}

/// What an id stands for, and the segment that holds its last full record.
#[derive(Debug)]
struct Entry {
    segment: u64,
    state: State,
}

#[derive(Debug)]
enum State {
    Open(Message),
    Owed(Status),
}

/// What an owner that has ended still owed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenOver {
    /// Messages that are owed their end, with their history.
    pub open: Vec<Message>,
    /// Notices that have not been acknowledged.
    pub owed: Vec<Notice>,
}

/// The journal and what it says.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    claim: Claim,
    /// What all files may hold, and what ours may: half of it while two processes write.
    disk: u64,
    budget: u64,
    /// Oldest first; the last one is written to.
    segments: VecDeque<Segment>,
    file: File,
    /// The batch: what has come of messages, and then what is taken on and sent, which has not happened
    /// unless it is written.
    facts: Vec<u8>,
    starts: Vec<u8>,
    entries: HashMap<Txn, Entry>,
    memories: Memories,
    /// Room that all entries need.
    live: u64,
}

/// What the records read so far say.
#[derive(Debug, Default)]
struct Contents {
    entries: HashMap<Txn, Entry>,
    memories: Memories,
}

impl Store {
    /// Reads the journal in `folder`, cuts a torn tail and begins a new segment. If another process owns it,
    /// nothing is read, and half of the `budget` (bytes of all files together) is ours until [`Store::succeed`].
    ///
    /// # Errors
    ///
    /// What the file system says; [`io::ErrorKind::ResourceBusy`] if two processes use the folder already.
    pub fn open(folder: &Path, budget: u64) -> io::Result<Self> {
        let claim = Claim::of(folder)?;
        let numbers = segments(folder)?;
        let mut contents = Contents::default();
        let (older, number, ours) = if claim.is_owner() {
            let next = numbers.last().map_or(0, |n| n + 1);
            (read(folder, &numbers, &mut contents)?, next, budget)
        } else {
            (VecDeque::new(), numbers.last().map_or(0, |n| n + GENERATION), budget / 2)
        };
        let file = create(folder, number)?;
        let mut segments = older;
        segments.push_back(Segment { number, bytes: 0 });
        let Contents { entries, memories } = contents;
        let live = entries.iter().map(|(txn, entry)| entry.room(txn)).sum();
        let folder = folder.to_owned();
        let mut store = Self {
            folder,
            claim,
            disk: budget,
            budget: ours,
            segments,
            file,
            facts: Vec::new(),
            starts: Vec::new(),
            entries,
            memories,
            live,
        };
        store.make_room()?;
        Ok(store)
    }

    /// Whether what the folder held before us is ours, too.
    pub fn is_owner(&self) -> bool {
        self.claim.is_owner()
    }

    /// Makes a successor the owner, if the owner has ended: what that still owed is ours from now on. `None` as
    /// long as it has not, and for one that is the owner already.
    ///
    /// An id that both know is ours as we know it: the older one's message is ended.
    ///
    /// # Errors
    ///
    /// What the file system says of the older segments; to try again is safe.
    pub fn succeed(&mut self) -> io::Result<Option<TakenOver>> {
        if !self.claim.is_vacant()? {
            return Ok(None);
        }
        let first = self.segments.front().map_or(0, |s| s.number);
        let numbers: Vec<u64> = segments(&self.folder)?.into_iter().filter(|&n| n < first).collect();
        let mut contents = Contents::default();
        let mut older = read(&self.folder, &numbers, &mut contents)?;
        self.claim.succeed()?;
        older.append(&mut self.segments);
        self.segments = older;
        self.budget = self.disk;
        let mut over = TakenOver::default();
        for (txn, entry) in contents.entries {
            if self.entries.contains_key(&txn) {
                continue;
            }
            match &entry.state {
                State::Open(message) => over.open.push(message.clone()),
                State::Owed(status) => over.owed.push(Notice { txn: txn.clone(), status: *status }),
            }
            self.live += entry.room(&txn);
            self.entries.insert(txn, entry);
        }
        // What we know ourselves is newer.
        self.memories.add_older(contents.memories);
        if let Err(error) = self.make_room() {
            tracing::warn!("journal: no room could be made: {error}");
        }
        Ok(Some(over))
    }

    /// Leaves half of the disk to a successor, or takes it back when there is none any more.
    ///
    /// # Errors
    ///
    /// What the file system says; the half is then left as far as it could be.
    pub fn share(&mut self, with_successor: bool) -> io::Result<()> {
        let half = self.disk / 2;
        let made = if with_successor { self.make_room_to(half.saturating_sub(RESERVE)) } else { Ok(()) };
        self.budget = if with_successor { half } else { self.disk };
        made
    }

    /// Messages that are still owed their end.
    pub fn open_messages(&self) -> impl Iterator<Item = &Message> {
        self.entries.values().filter_map(|e| match &e.state {
            State::Open(message) => Some(message),
            State::Owed(_) => None,
        })
    }

    /// Notices that have not been acknowledged.
    pub fn owed(&self) -> impl Iterator<Item = Notice> + '_ {
        self.entries.iter().filter_map(|(txn, e)| match e.state {
            State::Owed(status) => Some(Notice { txn: txn.clone(), status }),
            State::Open(_) => None,
        })
    }

    /// Whether an id is still owed its end or a notice.
    pub fn knows(&self, txn: &Txn) -> bool {
        self.entries.contains_key(txn)
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
        let (txn, segment) = (message.txn.clone(), self.current());
        self.entries.insert(txn, Entry { segment, state: State::Open(message) });
    }

    /// An attempt that is about to go out.
    pub fn attempt(&mut self, txn: &Txn, ran: Ran) {
        let Some(message) = open_mut(&mut self.entries, txn) else { return };
        put(&mut self.starts, ATTEMPT, |p| {
            put_text(p, txn);
            p.extend(message.attempts.to_le_bytes());
            put_ran(p, Some(&ran));
        });
        message.begin(message.attempts, Some(ran));
    }

    /// An attempt, counted from 0, has ended.
    pub fn outcome(&mut self, txn: &Txn, attempt: u32, may_have_run: bool) {
        let Some(message) = open_mut(&mut self.entries, txn) else { return };
        put(&mut self.facts, OUTCOME, |p| {
            put_text(p, txn);
            p.push(u8::from(may_have_run));
            p.extend(attempt.to_le_bytes());
        });
        message.end(Some(attempt), may_have_run);
    }

    /// A message has ended; `owed` is the notice that its platform must get.
    pub fn end(&mut self, txn: &Txn, owed: Option<Status>) {
        let Some(entry) = self.entries.remove(txn) else { return };
        self.live -= entry.room(txn);
        put_ended(&mut self.facts, txn, owed);
        if let Some(status) = owed {
            let entry = Entry { segment: self.current(), state: State::Owed(status) };
            self.live += entry.room(txn);
            self.entries.insert(txn.clone(), entry);
        }
    }

    /// A notice has been acknowledged.
    pub fn settled(&mut self, txn: &Txn) {
        let Some(entry) = self.entries.remove(txn) else { return };
        self.live -= entry.room(txn);
        put(&mut self.facts, SETTLED, |p| put_text(p, txn));
    }

    /// What to know of a partner, or a receiver, if this process ends: in place of what was to be known before.
    pub fn remember(&mut self, place: Place, trouble: Option<Trouble>) {
        let (segment, at) = (self.current(), wall_ms());
        put_memory(&mut self.facts, &place, at, trouble);
        self.memories.put(place, trouble.map(|trouble| Memory { segment, at, trouble }));
    }

    /// What is to be known of partners and receivers, as it is now.
    pub fn memories(&self) -> impl Iterator<Item = (&Place, Trouble)> {
        self.memories.at(wall_ms())
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
        if let Err(error) = self.append(&batch) {
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
    pub fn forget(&mut self, txn: &Txn) {
        if let Some(entry) = self.entries.remove(txn) {
            self.live -= entry.room(txn);
        }
    }

    fn current(&self) -> u64 {
        self.segments.back().map_or(0, |s| s.number)
    }

    fn total(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes.next_multiple_of(BLOCK)).sum()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.total() + bytes.len() as u64 + 2 * BLOCK > self.budget {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has no room"));
        }
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        if let Err(error) = self.file.write_all(bytes) {
            // Half a record in the middle would hide what follows it.
            self.file.set_len(segment.bytes)?;
            return Err(error);
        }
        segment.bytes += bytes.len() as u64;
        if segment.bytes >= SEGMENT {
            let number = segment.number + 1;
            match create(&self.folder, number) {
                Ok(file) => {
                    self.file = file;
                    self.segments.push_back(Segment { number, bytes: 0 });
                }
                // What was to be written is written: this segment just grows longer.
                Err(error) => tracing::warn!("journal: no new segment could be begun: {error}"),
            }
        }
        Ok(())
    }

    fn make_room(&mut self) -> io::Result<()> {
        self.make_room_to(self.budget.saturating_sub(RESERVE))
    }

    /// Moves what is live out of the oldest segments until no more than so much is used.
    fn make_room_to(&mut self, most: u64) -> io::Result<()> {
        for _ in 1..self.segments.len() {
            if self.total() <= most {
                break;
            }
            let Some(oldest) = self.segments.front().map(|s| s.number) else { break };
            let current = self.current();
            let mut moved = Vec::new();
            for (txn, entry) in self.entries.iter_mut().filter(|(_, e)| e.segment == oldest) {
                match &entry.state {
                    State::Open(message) => put_taken(&mut moved, message),
                    State::Owed(status) => put_ended(&mut moved, txn, Some(*status)),
                }
            }
            for (place, memory) in self.memories.of_segment(oldest, wall_ms()) {
                put_memory(&mut moved, place, memory.at, Some(memory.trouble));
            }
            self.append(&moved)?;
            self.memories.of_segment(oldest, wall_ms()).for_each(|(_, memory)| memory.segment = current);
            self.entries.values_mut().filter(|e| e.segment == oldest).for_each(|e| e.segment = current);
            fs::remove_file(path(&self.folder, oldest))?;
            self.segments.pop_front();
        }
        Ok(())
    }
}

impl Entry {
    fn room(&self, txn: &Txn) -> u64 {
        match &self.state {
            State::Open(message) => message.room(),
            State::Owed(_) => (txn.len() + FRAME + 16) as u64,
        }
    }
}

impl Message {
    /// An attempt goes out. An earlier one that has no outcome was cut off by the end of its process, and may
    /// have run: nothing that comes of this one changes that.
    fn begin(&mut self, attempt: u32, ran: Option<Ran>) {
        self.settle(true);
        self.attempts = self.attempts.max(attempt.saturating_add(1));
        self.out = ran;
    }

    /// An attempt has ended. One that never was on record, as its batch could not be written, is not the one
    /// that is out. Outcomes of older journals do not say which they are of.
    fn end(&mut self, attempt: Option<u32>, may_have_run: bool) {
        if attempt.is_none_or(|attempt| self.attempts == attempt.saturating_add(1)) {
            self.settle(may_have_run);
        }
    }

    fn settle(&mut self, may_have_run: bool) {
        let ran = self.out.take().filter(|_| may_have_run);
        self.may_have_run = self.may_have_run.take().or(ran);
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number:08}"))
}

/// The numbers of the segments in a folder, in their order.
fn segments(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers: Vec<u64> = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix("journal-")).and_then(|n| n.parse().ok());
        numbers.extend::<Option<u64>>(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads segments of processes that have ended, and cuts what is torn.
fn read(folder: &Path, numbers: &[u64], contents: &mut Contents) -> io::Result<VecDeque<Segment>> {
    let mut segments = VecDeque::new();
    for &number in numbers {
        let path = path(folder, number);
        let bytes = fs::read(&path)?;
        let end = replay(&bytes, number, contents);
        if end < bytes.len() {
            tracing::warn!("journal: segment {number} ends in {} torn bytes: cut", bytes.len() - end);
            OpenOptions::new().write(true).open(&path)?.set_len(end as u64)?;
        }
        segments.push_back(Segment { number, bytes: end as u64 });
    }
    // Nothing of an earlier process is out any more.
    for entry in contents.entries.values_mut() {
        if let State::Open(message) = &mut entry.state {
            message.settle(true);
        }
    }
    Ok(segments)
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new().append(true).create_new(true).open(path(folder, number))
}

fn open_mut<'a>(entries: &'a mut HashMap<Txn, Entry>, txn: &Txn) -> Option<&'a mut Message> {
    match entries.get_mut(txn).map(|e| &mut e.state) {
        Some(State::Open(message)) => Some(message),
        _ => None,
    }
}

// ---- Records ---------------------------------------------------------------------------------------------

/// Appends a record whose payload `fill` writes.
fn put(batch: &mut Vec<u8>, tag: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = batch.len();
    batch.extend([0; FRAME]);
    batch.push(tag);
    fill(batch);
    let (frame, payload) = batch[start..].split_at_mut(FRAME);
    frame[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    frame[4..].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
}

fn put_bytes(p: &mut Vec<u8>, bytes: &[u8]) {
    p.extend((bytes.len() as u32).to_le_bytes());
    p.extend(bytes);
}

fn put_text(p: &mut Vec<u8>, text: &str) {
    put_bytes(p, text.as_bytes());
}

fn put_ran(p: &mut Vec<u8>, ran: Option<&Ran>) {
    p.push(u8::from(ran.is_some()));
    if let Some(ran) = ran {
        p.extend(ran.at.to_le_bytes());
        put_text(p, &ran.receiver);
        put_text(p, &ran.zone);
    }
}

fn put_taken(batch: &mut Vec<u8>, m: &Message) {
    put(batch, TAKEN, |p| {
        put_text(p, &m.txn);
        put_text(p, &m.class);
        put_text(p, &m.tenant);
        p.extend(m.destination.to_le_bytes());
        p.push(u8::from(m.key.is_some()));
        put_bytes(p, m.key.as_deref().unwrap_or_default());
        p.extend(m.deadline.to_le_bytes());
        p.extend(m.attempts.to_le_bytes());
        put_ran(p, m.may_have_run.as_ref());
        put_ran(p, m.out.as_ref());
        put_bytes(p, &m.body);
    });
}

fn put_ended(batch: &mut Vec<u8>, txn: &Txn, owed: Option<Status>) {
    put(batch, ENDED, |p| {
        put_text(p, txn);
        let (tag, again) = match owed {
            None => (0, 0),
            Some(Status::Undeliverable) => (1, 0),
            Some(Status::Deferred(None)) => (2, 0),
            Some(Status::Deferred(Some(again))) => (3, again),
        };
        p.push(tag);
        p.extend(again.to_le_bytes());
    });
}

fn put_memory(batch: &mut Vec<u8>, (destination, receiver): &Place, at: u64, trouble: Option<Trouble>) {
    put(batch, MEMORY, |p| {
        put_text(p, receiver);
        p.extend(destination.to_le_bytes());
        p.extend(at.to_le_bytes());
        let (tag, ms, part) = match trouble {
            None => (0, 0, 0.0),
            Some(Trouble::Down { wait }) => (1, wait.min(i64::MAX as u64) as i64, 0.0),
            Some(Trouble::Cold { ago, part }) => (2, ago, part),
        };
        p.push(tag);
        p.extend(ms.to_le_bytes());
        p.extend(part.to_le_bytes());
    });
}

/// Takes in a segment; returns where its last whole record ends.
fn replay(bytes: &[u8], segment: u64, contents: &mut Contents) -> usize {
    let mut at = 0;
    while let Some((frame, rest)) = bytes[at..].split_at_checked(FRAME) {
        let mut fields = Fields(frame);
        let (Some(length), Some(sum)) = (fields.u32(), fields.u32()) else { break };
        let length = length as usize;
        if length > MAX_PAYLOAD {
            tracing::warn!("journal: segment {segment} is damaged at byte {at}: the rest of it is lost");
            break;
        }
        let Some(payload) = rest.get(..length) else { break };
        if crc32fast::hash(payload) != sum {
            tracing::warn!("journal: segment {segment} has a damaged record at byte {at}: skipped");
        } else if apply(payload, segment, contents).is_none() {
            tracing::warn!("journal: segment {segment} has an unreadable record at byte {at}: skipped");
        }
        at += FRAME + length;
    }
    at
}

fn apply(payload: &[u8], segment: u64, contents: &mut Contents) -> Option<()> {
    let Contents { entries, memories } = contents;
    let mut f = Fields(payload);
    let (tag, txn) = (f.u8()?, f.text()?);
    match tag {
        TAKEN => {
            let (class, tenant, destination) = (f.text()?, f.text()?, f.u16()?);
            let key = (f.u8()? != 0, f.bytes()?);
            let message = Message {
                txn: txn.clone(),
                class,
                tenant,
                destination,
                key: key.0.then(|| Bytes::copy_from_slice(key.1)),
                deadline: f.u64()?,
                attempts: f.u32()?,
                may_have_run: f.ran()?,
                out: f.ran()?,
                body: Bytes::copy_from_slice(f.bytes()?),
            };
            entries.insert(txn, Entry { segment, state: State::Open(message) });
        }
        ATTEMPT => {
            let (number, ran) = (f.u32()?, f.ran()?);
            if let Some(message) = open_mut(entries, &txn) {
                message.begin(number, ran);
            }
        }
        OUTCOME => {
            let (may_have_run, attempt) = (f.u8()? != 0, f.u32());
            if let Some(message) = open_mut(entries, &txn) {
                message.end(attempt, may_have_run);
            }
        }
        ENDED => {
            let (tag, again) = (f.u8()?, f.u64()?);
            let status = match tag {
                0 => None,
                1 => Some(Status::Undeliverable),
                2 => Some(Status::Deferred(None)),
                3 => Some(Status::Deferred(Some(again))),
                _ => return None,
            };
            match status {
                None => drop(entries.remove(&txn)),
                Some(status) => drop(entries.insert(txn, Entry { segment, state: State::Owed(status) })),
            }
        }
        SETTLED => drop(entries.remove(&txn)),
        MEMORY => {
            let (destination, at, tag) = (f.u16()?, f.u64()?, f.u8()?);
            let (ms, part) = (f.u64()? as i64, f64::from_bits(f.u64()?));
            let trouble = match tag {
                0 => None,
                1 => Some(Trouble::Down { wait: ms.try_into().ok()? }),
                2 if (0.0..=1.0).contains(&part) => Some(Trouble::Cold { ago: ms, part }),
                _ => return None,
            };
            let memory = trouble.map(|trouble| Memory { segment, at, trouble });
            memories.put((destination, txn), memory);
        }
        _ => return None,
    }
    Some(())
}

/// Reads a payload's fields; `None` past its end.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2)?.try_into().ok().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    fn text(&mut self) -> Option<Rc<str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Rc::from)
    }

    /// `None` if unreadable, `Some(None)` if there is none.
    fn ran(&mut self) -> Option<Option<Ran>> {
        if self.u8()? == 0 {
            return Some(None);
        }
        Some(Some(Ran { at: self.u64()?, receiver: self.text()?, zone: self.text()? }))
    }
}

#[cfg(test)]
mod tests;
