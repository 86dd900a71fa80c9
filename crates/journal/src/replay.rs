//! What the records of segments say, read in their order.

use std::collections::{HashMap, VecDeque};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::Path;

use bytes::Bytes;

use crate::MessageId;
use crate::memory::{OutageRecord, OutageRecords, OutageState};
use crate::message::{Message, Status};
use crate::record::*;
use crate::segments::{Segment, path};

/// What an id stands for, and the segment that holds its last full record.
#[derive(Debug)]
pub(crate) struct Entry {
    pub segment: u64,
    pub state: State,
}

#[derive(Debug)]
pub(crate) enum State {
    Open(Message),
    Owed(Status),
}

/// What the records read so far say.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub entries: HashMap<MessageId, Entry>,
    pub outage_records: OutageRecords,
    /// When the latest attempt on record went out, in milliseconds of the wall clock since 1970; 0 if there is none.
    pub latest_attempt: u64,
}

impl Entry {
    pub fn room(&self, message_id: &MessageId) -> u64 {
        match &self.state {
            State::Open(message) => message.room(),
            State::Owed(_) => (message_id.len() + FRAME + 16) as u64,
        }
    }
}

/// Reads segments of processes that have ended, and cuts what is torn.
pub(crate) fn read(folder: &Path, numbers: &[u64], contents: &mut Contents) -> io::Result<VecDeque<Segment>> {
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

pub(crate) fn open_mut<'a>(
    entries: &'a mut HashMap<MessageId, Entry>,
    message_id: &MessageId,
) -> Option<&'a mut Message> {
    match entries.get_mut(message_id).map(|e| &mut e.state) {
        Some(State::Open(message)) => Some(message),
        _ => None,
    }
}

/// Takes in a segment; returns where its last whole record ends.
pub(crate) fn replay(bytes: &[u8], segment: u64, contents: &mut Contents) -> usize {
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
    let Contents { entries, outage_records, latest_attempt } = contents;
    let mut f = Fields(payload);
    let (tag, message_id) = (f.u8()?, f.text()?);
    match tag {
        TAKEN => {
            let (class, tenant, destination) = (f.text()?, f.text()?, f.u16()?);
            let key = (f.u8()? != 0, f.bytes()?);
            let message = Message {
                message_id: message_id.clone(),
                class,
                tenant,
                destination,
                key: key.0.then(|| Bytes::copy_from_slice(key.1)),
                deadline: f.u64()?,
                attempts: f.u32()?,
                possibly_executed: f.ran()?,
                out: f.ran()?,
                body: Bytes::copy_from_slice(f.bytes()?),
            };
            let ran = message.possibly_executed.iter().chain(&message.out).map(|ran| ran.at);
            *latest_attempt = ran.fold(*latest_attempt, u64::max);
            entries.insert(message_id, Entry { segment, state: State::Open(message) });
        }
        ATTEMPT => {
            let (number, ran) = (f.u32()?, f.ran()?);
            *latest_attempt = ran.iter().map(|ran| ran.at).fold(*latest_attempt, u64::max);
            if let Some(message) = open_mut(entries, &message_id) {
                message.begin(number, ran);
            }
        }
        OUTCOME => {
            let (possibly_executed, attempt) = (f.u8()? != 0, f.u32());
            if let Some(message) = open_mut(entries, &message_id) {
                message.end(attempt, possibly_executed);
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
                None => drop(entries.remove(&message_id)),
                Some(status) => {
                    drop(entries.insert(message_id, Entry { segment, state: State::Owed(status) }))
                }
            }
        }
        SETTLED => drop(entries.remove(&message_id)),
        OUTAGE_RECORD => {
            let (destination, at, tag) = (f.u16()?, f.u64()?, f.u8()?);
            let (ms, part) = (f.u64()? as i64, f64::from_bits(f.u64()?));
            let outage = match tag {
                0 => None,
                1 => Some(OutageState::Down { wait: ms.try_into().ok()? }),
                2 if (0.0..=1.0).contains(&part) => Some(OutageState::WarmingUp { ago: ms, part }),
                _ => return None,
            };
            let memory = outage.map(|outage| OutageRecord { segment, at, outage });
            outage_records.put((destination, message_id), memory);
        }
        _ => return None,
    }
    Some(())
}
