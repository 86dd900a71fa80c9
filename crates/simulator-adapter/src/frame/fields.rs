//! Reads the fields of a header, body or record one after another.

use rudderspindle_policy::interface::RouteId;

use super::MalformedFrame;

/// Length of each number in a receiver's load report, in bytes.
const LOAD_NUMBER_LEN: usize = 4;

/// A cursor over the bytes of a header, body or record.
pub(super) struct FieldReader<'a> {
    bytes: &'a [u8],
    /// Name of the section that the bytes belong to, for error messages.
    section: &'static str,
}

impl<'a> FieldReader<'a> {
    /// Creates a cursor at the first byte of a section.
    pub fn new(bytes: &'a [u8], section: &'static str) -> Self {
        Self { bytes, section }
    }

    /// Reads the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], MalformedFrame> {
        let (head, rest) = self
            .bytes
            .split_at_checked(count)
            .ok_or(MalformedFrame::TruncatedField { section: self.section })?;
        self.bytes = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads one byte.
    pub fn u8(&mut self) -> Result<u8, MalformedFrame> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// Reads an integer of two bytes.
    pub fn u16(&mut self) -> Result<u16, MalformedFrame> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads an integer of four bytes.
    pub fn u32(&mut self) -> Result<u32, MalformedFrame> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Reads an integer of eight bytes.
    pub fn u64(&mut self) -> Result<u64, MalformedFrame> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// Reads a floating-point number of four bytes, which may be infinite or not a number.
    pub fn f32(&mut self) -> Result<f32, MalformedFrame> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    /// Reads a finite floating-point number of eight bytes.
    pub fn f64(&mut self) -> Result<f64, MalformedFrame> {
        let value = f64::from_be_bytes(self.array()?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(MalformedFrame::NonFiniteNumber { section: self.section })
        }
    }

    /// Reads the IPv4 address and port of a receiver, which together identify a route.
    pub fn route(&mut self) -> Result<RouteId, MalformedFrame> {
        let address = self.u32()?;
        let port = self.u16()?;
        Ok(RouteId(u64::from(address) << 16 | u64::from(port)))
    }

    /// Skips a finite floating-point number that the policy does not use.
    pub fn skip_f64(&mut self) -> Result<(), MalformedFrame> {
        self.f64()?;
        Ok(())
    }

    /// Skips the load report of a receiver: a count of numbers, then the numbers.
    pub fn skip_load(&mut self) -> Result<(), MalformedFrame> {
        let count = usize::from(self.u8()?);
        self.take(count * LOAD_NUMBER_LEN)?;
        Ok(())
    }

    /// Checks that all bytes were read.
    pub fn finish(self) -> Result<(), MalformedFrame> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(MalformedFrame::TrailingBytes { section: self.section, count: self.bytes.len() })
        }
    }
}
