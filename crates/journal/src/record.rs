//! Records as they stand in a segment: a frame, a tag and fields.

use std::rc::Rc;

use crate::memory::{EndpointKey, OutageState};
use crate::message::{Message, PossibleExecution, Status};
use crate::{MAX_BODY, MessageId};

/// Bytes of a record before its payload.
pub(crate) const FRAME: usize = 8;
/// A payload longer than this is damage.
pub(crate) const MAX_PAYLOAD: usize = MAX_BODY + 4096;

pub(crate) const TAKEN: u8 = 1;
pub(crate) const ATTEMPT: u8 = 2;
pub(crate) const OUTCOME: u8 = 3;
pub(crate) const ENDED: u8 = 4;
pub(crate) const SETTLED: u8 = 5;
pub(crate) const OUTAGE_RECORD: u8 = 6;

/// Appends a record whose payload `fill` writes.
pub(crate) fn put(batch: &mut Vec<u8>, tag: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = batch.len();
    batch.extend([0; FRAME]);
    batch.push(tag);
    fill(batch);
    let (frame, payload) = batch[start..].split_at_mut(FRAME);
    frame[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    frame[4..].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
}

pub(crate) fn put_bytes(p: &mut Vec<u8>, bytes: &[u8]) {
    p.extend((bytes.len() as u32).to_le_bytes());
    p.extend(bytes);
}

pub(crate) fn put_text(p: &mut Vec<u8>, text: &str) {
    put_bytes(p, text.as_bytes());
}

pub(crate) fn put_ran(p: &mut Vec<u8>, ran: Option<&PossibleExecution>) {
    p.push(u8::from(ran.is_some()));
    if let Some(ran) = ran {
        p.extend(ran.at.to_le_bytes());
        put_text(p, &ran.receiver);
        put_text(p, &ran.zone);
    }
}

pub(crate) fn put_taken(batch: &mut Vec<u8>, m: &Message) {
    put(batch, TAKEN, |p| {
        put_text(p, &m.message_id);
        put_text(p, &m.class);
        put_text(p, &m.tenant);
        p.extend(m.destination.to_le_bytes());
        p.push(u8::from(m.key.is_some()));
        put_bytes(p, m.key.as_deref().unwrap_or_default());
        p.extend(m.deadline.to_le_bytes());
        p.extend(m.attempts.to_le_bytes());
        put_ran(p, m.possibly_executed.as_ref());
        put_ran(p, m.out.as_ref());
        put_bytes(p, &m.body);
    });
}

pub(crate) fn put_ended(batch: &mut Vec<u8>, message_id: &MessageId, owed: Option<Status>) {
    put(batch, ENDED, |p| {
        put_text(p, message_id);
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

pub(crate) fn put_memory(
    batch: &mut Vec<u8>,
    (destination, receiver): &EndpointKey,
    at: u64,
    outage: Option<OutageState>,
) {
    put(batch, OUTAGE_RECORD, |p| {
        put_text(p, receiver);
        p.extend(destination.to_le_bytes());
        p.extend(at.to_le_bytes());
        let (tag, ms, part) = match outage {
            None => (0, 0, 0.0),
            Some(OutageState::Down { wait }) => (1, wait.min(i64::MAX as u64) as i64, 0.0),
            Some(OutageState::WarmingUp { ago, part }) => (2, ago, part),
        };
        p.push(tag);
        p.extend(ms.to_le_bytes());
        p.extend(part.to_le_bytes());
    });
}

/// Reads a payload's fields; `None` past its end.
pub(crate) struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.take(2)?.try_into().ok().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    pub fn text(&mut self) -> Option<Rc<str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Rc::from)
    }

    /// `None` if unreadable, `Some(None)` if there is none.
    pub fn ran(&mut self) -> Option<Option<PossibleExecution>> {
        if self.u8()? == 0 {
            return Some(None);
        }
        Some(Some(PossibleExecution { at: self.u64()?, receiver: self.text()?, zone: self.text()? }))
    }
}
