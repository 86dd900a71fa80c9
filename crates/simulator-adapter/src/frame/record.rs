//! The records of a batch, and the codes by which they are decoded.

mod instances;
mod lists;
mod messages;

use rudderspindle_policy::interface::{Event, Outcome, RouteEntry};

use super::MalformedFrame;
use super::fields::FieldReader;

// Codes of the records.
const HEALTH_CHECKED: u8 = 16;
const MESSAGE: u8 = 17;
const POWER_OFF: u8 = 18;
const WAKE: u8 = 19;
const LIST: u8 = 20;
const PEER: u8 = 21;
const LIST_UPDATE: u8 = 22;
const OUTCOME: u8 = 23;
const START: u8 = 24;
const STARTED: u8 = 25;
const DROPPED: u8 = 26;

/// Identifies one instance: a simulated sender with its own policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u32);

/// Identifies an endpoint list, which several updates may refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListId(pub u32);

/// A decoded record.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// An instance starts without state.
    Start {
        instance: InstanceId,
        /// Seed of the policy's random numbers.
        seed: u64,
        /// Settings of the policy, JSON.
        settings: Vec<u8>,
    },
    /// An instance stops and loses its state.
    PowerOff { instance: InstanceId },
    /// Defines or replaces an endpoint list.
    DefineList {
        /// Identifier by which updates refer to the list.
        list: ListId,
        /// All routes of the list.
        entries: Vec<RouteEntry>,
    },
    /// The discovery of an instance returns a list that a [`Record::DefineList`] has defined, or fails.
    ListUpdate {
        instance: InstanceId,
        /// How the list is applied: one of the `LIST_UPDATE_*` codes of the host.
        kind: u8,
        /// List to apply; ignored if discovery failed.
        list: ListId,
    },
    /// An event for the policy of an instance.
    Event { instance: InstanceId, event: Event },
    /// A datagram from another instance. The content is ignored because the policy uses no datagrams in this protocol,
    /// but the policy of the receiving instance is called.
    Datagram {
        /// Instance that received the datagram.
        instance: InstanceId,
    },
}

/// Decodes a record; `bytes` must contain its fields and nothing else.
pub(super) fn decode(code: u8, bytes: &[u8]) -> Result<Record, MalformedFrame> {
    let mut fields = FieldReader::new(bytes, "record");
    let record = match code {
        HEALTH_CHECKED => instances::health_checked(&mut fields)?,
        MESSAGE => messages::message(&mut fields)?,
        POWER_OFF => instances::power_off(&mut fields)?,
        WAKE => instances::wake(&mut fields)?,
        LIST => lists::list(&mut fields)?,
        PEER => instances::datagram(&mut fields)?,
        LIST_UPDATE => lists::list_update(&mut fields)?,
        OUTCOME => messages::outcome(&mut fields)?,
        START => instances::start(&mut fields)?,
        STARTED => messages::started(&mut fields)?,
        DROPPED => messages::dropped(&mut fields)?,
        unknown => return Err(MalformedFrame::UnknownRecordCode(unknown)),
    };
    fields.finish()?;
    Ok(record)
}

fn instance_id(fields: &mut FieldReader<'_>) -> Result<InstanceId, MalformedFrame> {
    Ok(InstanceId(fields.u32()?))
}

/// Reads the outcome of an attempt or health check, which is encoded like an HTTP status.
fn attempt_outcome(fields: &mut FieldReader<'_>) -> Result<Outcome, MalformedFrame> {
    match fields.u16()? {
        200 => Ok(Outcome::Ok),
        410 => Ok(Outcome::NotSent),
        499 => Ok(Outcome::Cancelled),
        500 => Ok(Outcome::Error),
        502 => Ok(Outcome::ConnectFailed),
        503 => Ok(Outcome::Rejected),
        504 => Ok(Outcome::Timeout),
        598 => Ok(Outcome::Reset),
        unknown => Err(MalformedFrame::UnknownOutcome(unknown)),
    }
}
