//! Reader of the fields in a payload.

use std::rc::Rc;

use rudderspindle_clock::UnixMillis;

use crate::message::PossibleExecution;

/// Reads fields from the front of a payload; each method returns `None` if the remaining payload does not start with such a
/// field.
pub(crate) struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader at the first field.
    pub fn new(payload: &'a [u8]) -> Self {
        Self { rest: payload }
    }

    /// An unsigned 8-bit integer.
    pub fn u8(&mut self) -> Option<u8> {
        self.array().map(u8::from_le_bytes)
    }

    /// An unsigned 16-bit integer.
    pub fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    /// An unsigned 32-bit integer.
    pub fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    /// An unsigned 64-bit integer.
    pub fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    /// A signed 64-bit integer.
    pub fn i64(&mut self) -> Option<i64> {
        self.array().map(i64::from_le_bytes)
    }

    /// A 64-bit floating-point number.
    pub fn f64(&mut self) -> Option<f64> {
        self.array().map(f64::from_le_bytes)
    }

    /// A wall clock time.
    pub fn time(&mut self) -> Option<UnixMillis> {
        self.u64().map(UnixMillis)
    }

    /// A byte; every value except 0 is true.
    pub fn bool(&mut self) -> Option<bool> {
        self.u8().map(|byte| byte != 0)
    }

    /// Bytes, preceded by their length.
    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        let (bytes, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(bytes)
    }

    /// UTF-8 text, preceded by its length.
    pub fn text(&mut self) -> Option<Rc<str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Rc::from)
    }

    /// An attempt that may have been executed, or `Some(None)` if there is none.
    pub fn execution(&mut self) -> Option<Option<PossibleExecution>> {
        if !self.bool()? {
            return Some(None);
        }
        let at = self.time()?;
        let receiver = self.text()?;
        let zone = self.text()?;
        Some(Some(PossibleExecution { at, receiver, zone }))
    }

    fn array<const LEN: usize>(&mut self) -> Option<[u8; LEN]> {
        let (array, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        Some(*array)
    }
}
