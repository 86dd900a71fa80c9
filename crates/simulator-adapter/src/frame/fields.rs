//! Reads the fields of a header, batch or record one after another.

use rudderspindle_policy::interface::RouteId;

use super::MalformedFrame;

/// Length of one number of a receiver's load, in bytes.
const LOAD_FIGURE_LEN: usize = 4;

/// A cursor over the bytes of a header, batch or record.
pub(super) struct FieldReader<'a> {
    bytes: &'a [u8],
    /// What the bytes are, for error messages.
    section: &'static str,
}

impl<'a> FieldReader<'a> {
    /// A cursor at the first byte.
    pub fn new(bytes: &'a [u8], section: &'static str) -> Self {
        Self { bytes, section }
    }

    /// The next `count` bytes.
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

    /// The next byte.
    pub fn u8(&mut self) -> Result<u8, MalformedFrame> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// The next two bytes.
    pub fn u16(&mut self) -> Result<u16, MalformedFrame> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// The next four bytes.
    pub fn u32(&mut self) -> Result<u32, MalformedFrame> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// The next eight bytes.
    pub fn u64(&mut self) -> Result<u64, MalformedFrame> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// The next four bytes as a floating-point number, which may be infinite or not a number.
    pub fn f32(&mut self) -> Result<f32, MalformedFrame> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    /// The next eight bytes as a finite floating-point number.
    pub fn f64(&mut self) -> Result<f64, MalformedFrame> {
        let value = f64::from_be_bytes(self.array()?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(MalformedFrame::NonFiniteNumber { section: self.section })
        }
    }

    /// A receiver's IPv4 address and port, which together identify its route.
    pub fn route(&mut self) -> Result<RouteId, MalformedFrame> {
        let address = self.u32()?;
        let port = self.u16()?;
        Ok(RouteId(u64::from(address) << 16 | u64::from(port)))
    }

    /// Skips a finite floating-point number that the policy has no use for.
    pub fn skip_f64(&mut self) -> Result<(), MalformedFrame> {
        self.f64()?;
        Ok(())
    }

    /// Skips the load that a receiver reports: a count of numbers, then the numbers.
    pub fn skip_load(&mut self) -> Result<(), MalformedFrame> {
        let count = usize::from(self.u8()?);
        self.take(count * LOAD_FIGURE_LEN)?;
        Ok(())
    }

    /// Checks that no bytes are left.
    pub fn finish(self) -> Result<(), MalformedFrame> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(MalformedFrame::TrailingBytes { section: self.section, count: self.bytes.len() })
        }
    }
}
