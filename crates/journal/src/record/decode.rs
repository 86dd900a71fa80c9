//! Decoding of a record from its payload.

use std::rc::Rc;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;

use super::{FieldReader, RecordKind, notification_code, outage_code};
use crate::MessageId;
use crate::message::{Message, PossibleExecution, Status};
use crate::outage_records::{EndpointKey, OutageState};

/// A decoded record; the variants are documented at [`RecordKind`].
#[derive(Debug)]
pub(crate) enum Record {
    Accepted(Message),
    AttemptStarted {
        message_id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        execution: Option<PossibleExecution>,
    },
    AttemptFinished {
        message_id: MessageId,
        /// Number of the attempt; `None` in records of older versions, which did not store it.
        attempt: Option<u32>,
        possibly_executed: bool,
    },
    Completed {
        message_id: MessageId,
        /// The status of the notification that is now pending; `None` if no notification is sent.
        notification: Option<Status>,
    },
    Acknowledged {
        message_id: MessageId,
    },
    Outage {
        endpoint: EndpointKey,
        /// When the state was recorded.
        recorded_at: UnixMillis,
        /// `None` is healthy.
        outage: Option<OutageState>,
    },
}

impl Record {
    /// Decodes a payload; `None` if the kind is unknown or a field is missing or invalid. Bytes after the last field are
    /// ignored.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        let mut fields = FieldReader::new(payload);
        let kind = RecordKind::from_byte(fields.u8()?)?;
        let id = fields.text()?;
        match kind {
            RecordKind::Accepted => decode_accepted(id.into(), &mut fields),
            RecordKind::AttemptStarted => decode_attempt_started(id.into(), &mut fields),
            RecordKind::AttemptFinished => decode_attempt_finished(id.into(), &mut fields),
            RecordKind::Completed => decode_completed(id.into(), &mut fields),
            RecordKind::Acknowledged => Some(Self::Acknowledged { message_id: id.into() }),
            RecordKind::Outage => decode_outage(id, &mut fields),
        }
    }
}

fn decode_accepted(message_id: MessageId, fields: &mut FieldReader<'_>) -> Option<Record> {
    let class = fields.text()?;
    let tenant = fields.text()?;
    let destination = fields.u16()?;
    let has_key = fields.bool()?;
    let key = fields.bytes()?;
    let deadline = fields.time()?;
    let attempts = fields.u32()?;
    let possibly_executed = fields.execution()?;
    let in_flight = fields.execution()?;
    let body = fields.bytes()?;
    Some(Record::Accepted(Message {
        message_id,
        class,
        tenant,
        destination,
        idempotency_key: has_key.then(|| Bytes::copy_from_slice(key)),
        deadline,
        body: Bytes::copy_from_slice(body),
        attempts,
        possibly_executed,
        in_flight,
    }))
}

fn decode_attempt_started(message_id: MessageId, fields: &mut FieldReader<'_>) -> Option<Record> {
    let attempt = fields.u32()?;
    let execution = fields.execution()?;
    Some(Record::AttemptStarted { message_id, attempt, execution })
}

fn decode_attempt_finished(message_id: MessageId, fields: &mut FieldReader<'_>) -> Option<Record> {
    let possibly_executed = fields.bool()?;
    let attempt = fields.u32();
    Some(Record::AttemptFinished { message_id, attempt, possibly_executed })
}

fn decode_completed(message_id: MessageId, fields: &mut FieldReader<'_>) -> Option<Record> {
    let code = fields.u8()?;
    let retry_after_ms = fields.u64()?;
    let notification = match code {
        notification_code::NONE => None,
        notification_code::UNDELIVERABLE => Some(Status::Undeliverable),
        notification_code::DEFERRED => Some(Status::Deferred(None)),
        notification_code::DEFERRED_WITH_DELAY => Some(Status::Deferred(Some(retry_after_ms))),
        _ => return None,
    };
    Some(Record::Completed { message_id, notification })
}

/// `None` also if the state is impossible: an unknown code, a negative Retry-After or a ramp share outside 0 to 1.
fn decode_outage(receiver: Rc<str>, fields: &mut FieldReader<'_>) -> Option<Record> {
    let destination = fields.u16()?;
    let recorded_at = fields.time()?;
    let code = fields.u8()?;
    let duration_ms = fields.i64()?;
    let ramp_share = fields.f64()?;
    let outage = match code {
        outage_code::HEALTHY => None,
        outage_code::DOWN => Some(OutageState::Down { retry_after_remaining: duration_ms.try_into().ok()? }),
        outage_code::WARMING_UP if (0.0..=1.0).contains(&ramp_share) => {
            Some(OutageState::WarmingUp { since_recovery: duration_ms, ramp_share })
        }
        _ => return None,
    };
    Some(Record::Outage { endpoint: EndpointKey { destination, receiver }, recorded_at, outage })
}
