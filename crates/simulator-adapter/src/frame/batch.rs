//! Reads batches: a header with the simulated time, then a body of records.

use std::io::Read;

use rudderspindle_policy::interface::Millis;

use super::fields::FieldReader;
use super::record::{self, Record};
use super::{MalformedFrame, ReadBatchError};

/// Length of a batch's header, in bytes.
const HEADER_LEN: usize = 20;
/// Maximum length of a batch's body, in bytes; a header with a greater length is malformed.
const MAX_BODY_LEN: usize = 1 << 30;

/// The records of one moment of simulated time.
#[derive(Debug)]
pub struct Batch {
    /// Sequence number of the batch, which the reply repeats.
    pub number: u32,
    /// Simulated time, in milliseconds.
    pub now: Millis,
    /// Records in the order in which they are applied.
    pub records: Vec<Record>,
}

/// The header of a batch.
struct Header {
    number: u32,
    now: Millis,
    /// Length of the body, in bytes.
    body_len: usize,
    record_count: u32,
}

/// Reads one batch; `None` at the end of input.
///
/// # Errors
///
/// [`ReadBatchError`] if reading fails, or if the input ends within a batch or violates the protocol.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, ReadBatchError> {
    let Some(bytes) = read_header(input)? else { return Ok(None) };
    let header = decode_header(&bytes)?;
    let body = read_body(input, header.body_len)?;
    let records = decode_body(&body, header.record_count)?;
    Ok(Some(Batch { number: header.number, now: header.now, records }))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_LEN]>, ReadBatchError> {
    let mut header = [0; HEADER_LEN];
    let mut read_len = 0;
    while read_len < HEADER_LEN {
        match input.read(&mut header[read_len..])? {
            0 if read_len == 0 => return Ok(None),
            0 => return Err(MalformedFrame::TruncatedHeader.into()),
            count => read_len += count,
        }
    }
    Ok(Some(header))
}

fn decode_header(bytes: &[u8]) -> Result<Header, MalformedFrame> {
    let mut reader = FieldReader::new(bytes, "header");
    let header = Header {
        number: reader.u32()?,
        now: reader.f64()?,
        body_len: reader.u32()? as usize,
        record_count: reader.u32()?,
    };
    if header.body_len > MAX_BODY_LEN {
        return Err(MalformedFrame::BodyTooLong { length: header.body_len });
    }
    Ok(header)
}

fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, ReadBatchError> {
    let mut body = Vec::new();
    input.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(MalformedFrame::TruncatedBody.into());
    }
    Ok(body)
}

fn decode_body(body: &[u8], record_count: u32) -> Result<Vec<Record>, MalformedFrame> {
    let mut reader = FieldReader::new(body, "body");
    let mut records = Vec::new();
    for _ in 0..record_count {
        let code = reader.u8()?;
        let length = reader.u32()? as usize;
        let bytes = reader.take(length)?;
        records.push(record::decode(code, bytes)?);
    }
    reader.finish()?;
    Ok(records)
}
