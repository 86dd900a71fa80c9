//! Reading of the fields of a frame or payload.

use std::rc::Rc;

use rudderspindle_clock::UnixMillis;

use crate::message::PossibleExecution;

/// Reads fields from the front of a byte slice. A method returns `None` if the remaining bytes do not start with a valid field
/// of its type.
pub(crate) struct FieldReader<'a> {
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader that starts at the first byte.
    pub fn new(payload: &'a [u8]) -> Self {
        Self { remaining: payload }
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.array().map(u8::from_le_bytes)
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn i64(&mut self) -> Option<i64> {
        self.array().map(i64::from_le_bytes)
    }

    pub fn f64(&mut self) -> Option<f64> {
        self.array().map(f64::from_le_bytes)
    }

    /// A wall clock time, stored as an unsigned 64-bit integer.
    pub fn time(&mut self) -> Option<UnixMillis> {
        self.u64().map(UnixMillis)
    }

    /// A flag, stored as one byte; every value except 0 is true.
    pub fn bool(&mut self) -> Option<bool> {
        self.u8().map(|byte| byte != 0)
    }

    /// Bytes, preceded by their length (u32).
    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        let (bytes, remaining) = self.remaining.split_at_checked(length)?;
        self.remaining = remaining;
        Some(bytes)
    }

    /// UTF-8 text, preceded by its length in bytes (u32).
    pub fn text(&mut self) -> Option<Rc<str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Rc::from)
    }

    /// An attempt that may have been executed; `Some(None)` if the field says that there is none.
    pub fn execution(&mut self) -> Option<Option<PossibleExecution>> {
        if !self.bool()? {
            return Some(None);
        }
        let sent_at = self.time()?;
        let receiver = self.text()?;
        let zone = self.text()?;
        Some(Some(PossibleExecution { sent_at, receiver, zone }))
    }

    fn array<const LEN: usize>(&mut self) -> Option<[u8; LEN]> {
        let (array, remaining) = self.remaining.split_first_chunk()?;
        self.remaining = remaining;
        Some(*array)
    }
}
