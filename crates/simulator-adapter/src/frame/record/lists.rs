//! Records of endpoint lists and their updates.

use rudderspindle_policy::interface::{DestinationId, Listing, RouteEntry};

use super::super::MalformedFrame;
use super::super::fields::FieldReader;
use super::{ListId, Record, instance_id};

pub(super) fn list(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let list = ListId(fields.u32()?);
    let entry_count = fields.u32()?;
    let entries = (0..entry_count).map(|_| route_entry(fields)).collect::<Result<_, _>>()?;
    Ok(Record::DefineList { list, entries })
}

pub(super) fn list_update(fields: &mut FieldReader<'_>) -> Result<Record, MalformedFrame> {
    let instance = instance_id(fields)?;
    let kind = fields.u8()?;
    let _version = fields.u32()?;
    let list = ListId(fields.u32()?);
    Ok(Record::ListUpdate { instance, kind, list })
}

fn route_entry(fields: &mut FieldReader<'_>) -> Result<RouteEntry, MalformedFrame> {
    let route = fields.route()?;
    let zone = fields.u8()?;
    let kind = fields.u16()?;
    let destination = DestinationId(fields.u16()?);
    let listing = listing(fields)?;
    let rate = f64::from(fields.f32()?);
    fields.skip_f64()?;
    Ok(RouteEntry { route, destination, zone, kind, listing, rate })
}

fn listing(fields: &mut FieldReader<'_>) -> Result<Listing, MalformedFrame> {
    match fields.u8()? {
        0 => Ok(Listing::Removed),
        1 => Ok(Listing::Ready),
        2 => Ok(Listing::Draining),
        unknown => Err(MalformedFrame::UnknownListing(unknown)),
    }
}
