//! Resource limits of the process, from the key `limits`.

use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::settings::{Field, Range, ReadError};

/// Number of descriptors reserved for files, listeners, discovery and the runtime.
const RESERVED_DESCRIPTORS: usize = 40;
/// Minimum valid number of descriptors: the reserved ones, one for a client and one for a receiver.
const MIN_DESCRIPTORS: u32 = RESERVED_DESCRIPTORS as u32 + 2;
/// Fraction of the memory limit for request bodies that have not been received completely.
const BODY_MEMORY_FRACTION: f64 = 0.125;
/// Fraction of the memory limit for accepted messages that are not complete.
const PENDING_MEMORY_FRACTION: f64 = 0.25;
/// Minimum memory limit, in MB. A lower configured limit is raised to this value, which also applies if no limit is
/// configured.
const MIN_MEMORY_MB: f64 = 8.0;

const DISK_RANGE: Range = Range::new("a number of MB above 0", |x| x > 0.0);
const MEMORY_RANGE: Range = Range::new("a number of MB, 0 or more", |x| x >= 0.0);

/// Descriptors, disk space and memory that the process may use.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Maximum number of open file descriptors.
    descriptors: usize,
    /// Maximum disk space of the journal, in MB.
    pub(crate) disk_mb: f64,
    /// Memory limit, in MB; 0 if none is configured.
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

    /// Maximum number of connections from clients; the maximum for connections to receivers is the same.
    pub(crate) fn max_connections(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2
    }

    /// Memory for request bodies that have not been received completely, in bytes; at most one body of the maximum
    /// length for each client connection.
    pub(crate) fn body_bytes(&self) -> usize {
        let bytes = self.memory_mb.max(MIN_MEMORY_MB) * 1_000_000.0 * BODY_MEMORY_FRACTION;
        (bytes as usize).min(self.max_connections().saturating_mul(MAX_BODY))
    }

    /// Memory for accepted messages that are not complete, in bytes; `None` if no memory limit is configured.
    pub(crate) fn pending_bytes(&self) -> Option<u64> {
        let bytes = self.memory_mb.max(MIN_MEMORY_MB) * 1_000_000.0 * PENDING_MEMORY_FRACTION;
        (self.memory_mb > 0.0).then_some(bytes as u64)
    }
}
