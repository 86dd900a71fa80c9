//! Encoding of records: each function appends one record to a batch.

use rudderspindle_clock::UnixMillis;

use super::{FRAME_LEN, RecordKind, notification_code, outage_code};
use crate::MessageId;
use crate::message::{Message, PossibleExecution, Status};
use crate::outage_records::{EndpointKey, OutageState};

/// Appends a record of `kind`; `write_fields` appends the fields after the kind to the payload.
pub(crate) fn append_record(batch: &mut Vec<u8>, kind: RecordKind, write_fields: impl FnOnce(&mut Vec<u8>)) {
    let start = batch.len();
    batch.extend([0; FRAME_LEN]);
    batch.push(kind as u8);
    write_fields(batch);
    let (frame, payload) = batch[start..].split_at_mut(FRAME_LEN);
    frame[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    frame[4..].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
}

/// Appends the acceptance of a message, with its attempt history.
pub(crate) fn append_accepted(batch: &mut Vec<u8>, message: &Message) {
    append_record(batch, RecordKind::Accepted, |payload| {
        write_text(payload, &message.message_id);
        write_text(payload, &message.class);
        write_text(payload, &message.tenant);
        payload.extend(message.destination.to_le_bytes());
        payload.push(u8::from(message.idempotency_key.is_some()));
        write_bytes(payload, message.idempotency_key.as_deref().unwrap_or_default());
        write_time(payload, message.deadline);
        payload.extend(message.attempts.to_le_bytes());
        write_execution(payload, message.possibly_executed.as_ref());
        write_execution(payload, message.in_flight.as_ref());
        write_bytes(payload, &message.body);
    });
}

/// Appends the start of attempt number `attempt`, counted from 0.
pub(crate) fn append_attempt_started(
    batch: &mut Vec<u8>,
    message_id: &MessageId,
    attempt: u32,
    execution: &PossibleExecution,
) {
    append_record(batch, RecordKind::AttemptStarted, |payload| {
        write_text(payload, message_id);
        payload.extend(attempt.to_le_bytes());
        write_execution(payload, Some(execution));
    });
}

/// Appends the outcome of attempt number `attempt`, counted from 0.
pub(crate) fn append_attempt_finished(
    batch: &mut Vec<u8>,
    message_id: &MessageId,
    attempt: u32,
    possibly_executed: bool,
) {
    append_record(batch, RecordKind::AttemptFinished, |payload| {
        write_text(payload, message_id);
        payload.push(u8::from(possibly_executed));
        payload.extend(attempt.to_le_bytes());
    });
}

/// Appends the completion of a message, with its pending notification if there is one.
pub(crate) fn append_completed(batch: &mut Vec<u8>, message_id: &MessageId, notification: Option<Status>) {
    let (code, retry_after_ms) = match notification {
        None => (notification_code::NONE, 0),
        Some(Status::Undeliverable) => (notification_code::UNDELIVERABLE, 0),
        Some(Status::Deferred(None)) => (notification_code::DEFERRED, 0),
        Some(Status::Deferred(Some(retry_after_ms))) => {
            (notification_code::DEFERRED_WITH_DELAY, retry_after_ms)
        }
    };
    append_record(batch, RecordKind::Completed, |payload| {
        write_text(payload, message_id);
        payload.push(code);
        payload.extend(retry_after_ms.to_le_bytes());
    });
}

/// Appends the acknowledgement of a message's notification.
pub(crate) fn append_acknowledged(batch: &mut Vec<u8>, message_id: &MessageId) {
    append_record(batch, RecordKind::Acknowledged, |payload| write_text(payload, message_id));
}

/// Appends the outage state of an endpoint at the time `recorded_at`; `None` is healthy.
pub(crate) fn append_outage(
    batch: &mut Vec<u8>,
    endpoint: &EndpointKey,
    recorded_at: UnixMillis,
    outage: Option<OutageState>,
) {
    let (code, duration_ms, ramp_share) = match outage {
        None => (outage_code::HEALTHY, 0, 0.0),
        Some(OutageState::Down { retry_after_remaining }) => {
            (outage_code::DOWN, retry_after_remaining.min(i64::MAX as u64) as i64, 0.0)
        }
        Some(OutageState::WarmingUp { since_recovery, ramp_share }) => {
            (outage_code::WARMING_UP, since_recovery, ramp_share)
        }
    };
    append_record(batch, RecordKind::Outage, |payload| {
        write_text(payload, &endpoint.receiver);
        payload.extend(endpoint.destination.to_le_bytes());
        write_time(payload, recorded_at);
        payload.push(code);
        payload.extend(duration_ms.to_le_bytes());
        payload.extend(ramp_share.to_le_bytes());
    });
}

/// Appends text, preceded by its length in bytes.
pub(crate) fn write_text(payload: &mut Vec<u8>, text: &str) {
    write_bytes(payload, text.as_bytes());
}

fn write_bytes(payload: &mut Vec<u8>, bytes: &[u8]) {
    payload.extend((bytes.len() as u32).to_le_bytes());
    payload.extend(bytes);
}

fn write_time(payload: &mut Vec<u8>, time: UnixMillis) {
    payload.extend(time.0.to_le_bytes());
}

/// Appends one byte, 1 if there is an execution and 0 otherwise, and the fields of the execution.
fn write_execution(payload: &mut Vec<u8>, execution: Option<&PossibleExecution>) {
    payload.push(u8::from(execution.is_some()));
    if let Some(execution) = execution {
        write_time(payload, execution.sent_at);
        write_text(payload, &execution.receiver);
        write_text(payload, &execution.zone);
    }
}
