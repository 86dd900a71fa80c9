//! The records of a batch: their codes, and which group decodes each.

mod instances;
mod lists;
mod messages;

use rudderspindle_policy::interface::{Event, Outcome, RouteEntry};

use super::MalformedFrame;
use super::fields::FieldReader;

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

/// Identifies one simulated sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u32);

/// Identifies an endpoint list that several updates may refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListId(pub u32);

/// A decoded record.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// A sender starts without any state.
    Start {
        /// The sender.
        instance: InstanceId,
        /// Seed of its random draws.
        seed: u64,
        /// Its settings, JSON.
        settings: Vec<u8>,
    },
    /// A sender stops; its state is lost.
    PowerOff {
        /// The sender.
        instance: InstanceId,
    },
    /// Defines or replaces an endpoint list.
    List {
        /// The list.
        list: ListId,
        /// Its entries.
        entries: Vec<RouteEntry>,
    },
    /// A sender's discovery reports a list, or a failure to get one.
    ListUpdate {
        /// The sender.
        instance: InstanceId,
        /// How the list changes what the sender has; one of the `LIST_*` codes of the host.
        kind: u8,
        /// The list.
        list: ListId,
    },
    /// An event of a sender's policy.
    Event {
        /// The sender.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
    /// A datagram from another sender. The policy neither sends nor reads any on this protocol.
    Peer {
        /// The receiving sender.
        instance: InstanceId,
    },
}

/// Decodes the fields of a record with this code; all bytes must be used.
pub(super) fn decode(code: u8, bytes: &[u8]) -> Result<Record, MalformedFrame> {
    let mut fields = FieldReader::new(bytes, "record");
    let record = match code {
        HEALTH_CHECKED => instances::health_checked(&mut fields)?,
        MESSAGE => messages::message(&mut fields)?,
        POWER_OFF => instances::power_off(&mut fields)?,
        WAKE => instances::wake(&mut fields)?,
        LIST => lists::list(&mut fields)?,
        PEER => instances::peer(&mut fields)?,
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

/// An attempt's outcome, which the protocol writes like an HTTP status.
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
