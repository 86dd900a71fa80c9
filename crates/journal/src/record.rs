//! The binary format of journal records.
//!
//! A record consists of a frame and a payload. The frame holds the payload's length (u32) and its CRC-32 (u32). The payload
//! holds the [`RecordKind`] (u8), the id of a message (in [`RecordKind::Outage`] the id of a receiver) and the fields of that
//! kind. Integers are little endian; text and bytes are preceded by their length (u32).

mod decode;
mod encode;
mod field_reader;

pub(crate) use decode::Record;
pub(crate) use encode::{
    append_accepted, append_acknowledged, append_attempt_finished, append_attempt_started, append_completed,
    append_outage,
};
#[cfg(test)]
pub(crate) use encode::{append_record, write_text};
pub(crate) use field_reader::FieldReader;

use crate::MAX_BODY;

/// Length of a frame, in bytes.
pub(crate) const FRAME_LEN: usize = 8;
/// Maximum length of a payload, in bytes: a frame with a greater length is corrupt.
pub(crate) const MAX_PAYLOAD_LEN: usize = MAX_BODY + 4096;

/// The kind of a record, stored as the first byte of the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum RecordKind {
    /// A message was accepted, or compaction moved it together with its attempt history.
    Accepted = 1,
    /// An attempt is about to be sent.
    AttemptStarted = 2,
    /// The outcome of an attempt is known.
    AttemptFinished = 3,
    /// A message is complete, with or without a pending notification.
    Completed = 4,
    /// The platform acknowledged the notification of a message.
    Acknowledged = 5,
    /// The outage state of a destination or receiver changed.
    Outage = 6,
}

impl RecordKind {
    /// The kind that is stored as `byte`; `None` if it is unknown.
    fn from_byte(byte: u8) -> Option<Self> {
        let kinds = [
            Self::Accepted,
            Self::AttemptStarted,
            Self::AttemptFinished,
            Self::Completed,
            Self::Acknowledged,
            Self::Outage,
        ];
        kinds.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Codes of the pending notification in a [`RecordKind::Completed`] record.
mod notification_code {
    /// No notification is pending.
    pub const NONE: u8 = 0;
    /// `Status::Undeliverable`.
    pub const UNDELIVERABLE: u8 = 1;
    /// `Status::Deferred` without a delay.
    pub const DEFERRED: u8 = 2;
    /// `Status::Deferred` with a delay.
    pub const DEFERRED_WITH_DELAY: u8 = 3;
}

/// Codes of the state in a [`RecordKind::Outage`] record.
mod outage_code {
    /// No outage.
    pub const HEALTHY: u8 = 0;
    /// `OutageState::Down`.
    pub const DOWN: u8 = 1;
    /// `OutageState::WarmingUp`.
    pub const WARMING_UP: u8 = 2;
}
