//! Messages that were taken on, and how they end.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;

use crate::MessageId;

/// Milliseconds of the wall clock since 1970: the one clock that outlasts a process.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Where and when an attempt went out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
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
    pub message_id: MessageId,
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
    pub possibly_executed: Option<PossibleExecution>,
    /// The attempt that has no outcome yet.
    pub out: Option<PossibleExecution>,
}

impl Message {
    /// Room that taking it on needs: its record again with a history, and its notice.
    pub fn room(&self) -> u64 {
        (self.body.len() + self.key.as_ref().map_or(0, Bytes::len) + 2 * self.message_id.len() + 768) as u64
    }
}

/// How a message that was taken on and not delivered ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Its id.
    pub message_id: MessageId,
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

/// What an owner that has ended still owed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenOver {
    /// Messages that are owed their end, with their history.
    pub open: Vec<Message>,
    /// Notices that have not been acknowledged.
    pub owed: Vec<Notice>,
}

impl Message {
    /// An attempt goes out. An earlier one that has no outcome was cut off by the end of its process, and may
    /// have run: nothing that comes of this one changes that.
    pub(crate) fn begin(&mut self, attempt: u32, ran: Option<PossibleExecution>) {
        self.settle(true);
        self.attempts = self.attempts.max(attempt.saturating_add(1));
        self.out = ran;
    }

    /// An attempt has ended. One that never was on record, as its batch could not be written, is not the one
    /// that is out. Outcomes of older journals do not say which they are of.
    pub(crate) fn end(&mut self, attempt: Option<u32>, possibly_executed: bool) {
        if attempt.is_none_or(|attempt| self.attempts == attempt.saturating_add(1)) {
            self.settle(possibly_executed);
        }
    }

    pub(crate) fn settle(&mut self, possibly_executed: bool) {
        let ran = self.out.take().filter(|_| possibly_executed);
        self.possibly_executed = self.possibly_executed.take().or(ran);
    }
}
