//! Resource limits of the process.

use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::settings::{Field, Range, ReadError};

/// Descriptors reserved for files, listeners, discovery and the runtime.
const RESERVED_DESCRIPTORS: usize = 40;
/// Minimum number of descriptors: the reserved ones, one for a client and one for a receiver.
const MIN_DESCRIPTORS: u32 = RESERVED_DESCRIPTORS as u32 + 2;
/// Share of the memory limit for bodies of requests that have not been received completely.
const BODY_MEMORY_SHARE: f64 = 0.125;
/// Minimum effective memory limit, in MB, and the one in effect if none is configured.
const MIN_MEMORY_MB: f64 = 8.0;

const DISK_RANGE: Range = Range::new("a number of MB above 0", |x| x > 0.0);
const MEMORY_RANGE: Range = Range::new("a number of MB, 0 or more", |x| x >= 0.0);

/// Descriptors, disk space and memory that the process may use.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    descriptors: usize,
    /// Disk space, in MB.
    pub(crate) disk_mb: f64,
    memory_mb: f64,
}

impl Limits {
    /// Reads and validates the limits.
    ///
    /// # Errors
    ///
    /// [`ReadError`] names a limit that is missing or out of range.
    pub(crate) fn read(field: &Field<'_>) -> Result<Self, ReadError> {
        Ok(Self {
            descriptors: field.child("sockets").whole(MIN_DESCRIPTORS)? as usize,
            disk_mb: field.child("disk_mb").number(DISK_RANGE)?,
            memory_mb: field.child("memory_mb").number_or(0.0, MEMORY_RANGE)?,
        })
    }

    /// Maximum number of connections of clients; the same number is allowed to receivers.
    pub(crate) fn max_connections(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2
    }

    /// Memory for bodies that have not been received completely, in bytes; at most one body for each client connection.
    pub(crate) fn body_bytes(&self) -> usize {
        let share = self.memory_mb.max(MIN_MEMORY_MB) * 1_000_000.0 * BODY_MEMORY_SHARE;
        (share as usize).min(self.max_connections().saturating_mul(MAX_BODY))
    }
}
