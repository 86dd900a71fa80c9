//! Records of messages and of their attempts.

use rudderspindle_policy::interface::{AttemptResult, DestinationId, Event, Message, MessageHandle, Outcome};

use super::super::MalformedFrame;
use super::super::fields::FieldReader;
use super::{Record, attempt_outcome, instance_id};

/// Bit of a message's options that is set if the message has a work estimate.
const HAS_WORK_ESTIMATE: u8 = 1;

pub(super) fn message(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let id = message_handle(fields)?;
    let class = usize::from(fields.u8()?);
    let tenant = fields.u32()? as usize;
    let ordering_key = fields.u64()?;
    let time_left = fields.f64()?;
    let work_estimate = fields.f64()?;
    let destination = destination(fields)?;
    let options = fields.u8()?;
    let work_estimate = (options & HAS_WORK_ESTIMATE != 0).then_some(work_estimate);
    let message = Message { id, class, tenant, ordering_key, time_left, work_estimate, destination };
    Ok(Record::Event { instance, event: Event::Message(message) })
}

pub(super) fn started(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let id = message_handle(fields)?;
    fields.skip_f64()?;
    let attempt = u32::from(fields.u8()?);
    let _route = fields.route()?;
    Ok(Record::Event { instance, event: Event::ResponseStarted { id, attempt } })
}

pub(super) fn outcome(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let id = message_handle(fields)?;
    fields.skip_f64()?;
    let attempt = u32::from(fields.u8()?);
    let detail = fields.u32()?;
    let completed = fields.u8()? != 0;
    let outcome = attempt_outcome(fields)?;
    let _route = fields.route()?;
    fields.skip_load()?;
    // The detail is a Retry-After in milliseconds only if the attempt was rejected.
    let retry_after = if outcome == Outcome::Rejected { f64::from(detail) } else { 0.0 };
    let result = AttemptResult { id, attempt, outcome, retry_after, completed };
    Ok(Record::Event { instance, event: Event::Outcome(result) })
}

pub(super) fn dropped(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let id = message_handle(fields)?;
    Ok(Record::Event { instance, event: Event::ClientDisconnected(id) })
}

fn message_handle(fields: &mut FieldReader<'_>) -> Result<MessageHandle, MalformedFrame> {
    Ok(MessageHandle(fields.u32()?))
}

/// Reads the number of a destination, which is encoded as a floating-point number.
fn destination(fields: &mut FieldReader<'_>) -> Result<DestinationId, MalformedFrame> {
    let value = fields.f32()?;
    if value.fract() == 0.0 && (0.0..=f32::from(u16::MAX)).contains(&value) {
        Ok(DestinationId(value as u16))
    } else {
        Err(MalformedFrame::InvalidDestination(value))
    }
}
