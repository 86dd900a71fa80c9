//! Records of an instance's start and stop, timer, health checks and datagrams.

use rudderspindle_policy::interface::Event;

use super::super::MalformedFrame;
use super::super::fields::FieldReader;
use super::{Record, attempt_outcome, instance_id};

pub(super) fn start(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let seed = fields.u64()?;
    let length = fields.u32()? as usize;
    let settings = fields.take(length)?.to_vec();
    Ok(Record::Start { instance, seed, settings })
}

pub(super) fn power_off(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    Ok(Record::PowerOff { instance: instance_id(fields)? })
}

pub(super) fn wake(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let token = fields.u64()?;
    Ok(Record::Event { instance, event: Event::Wake(token) })
}

pub(super) fn health_checked(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let route = fields.route()?;
    let outcome = attempt_outcome(fields)?;
    // Duration of the health check.
    fields.skip_f64()?;
    fields.skip_load()?;
    Ok(Record::Event { instance, event: Event::HealthChecked { route, outcome } })
}

pub(super) fn datagram(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let _sender_of_datagram = fields.u16()?;
    let length = usize::from(fields.u16()?);
    let _datagram = fields.take(length)?;
    Ok(Record::Datagram { instance })
}
