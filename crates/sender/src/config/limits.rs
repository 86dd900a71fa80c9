//! What the machine gives.

use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::settings::{Field, Range, ReadError};

/// Descriptors that are neither clients' nor receivers': files, the listener, discovery, the runtime's.
const OTHER_SOCKETS: usize = 40;
/// The fewest descriptors with which one is left for clients and one for receivers.
const LEAST_SOCKETS: u32 = OTHER_SOCKETS as u32 + 2;
/// Part of the memory limit for bodies that have not come whole.
const BODY_PART: f64 = 0.125;
/// A memory limit that is not told, or lower, counts as this one, MB: less leaves room for a few bodies only.
const LEAST_MEMORY_MB: f64 = 8.0;

const DISK: Range = Range::new("a number of MB above 0", |x| x > 0.0);
const MEMORY: Range = Range::new("a number of MB, 0 or more", |x| x >= 0.0);

/// Descriptors, disk and memory that the process may use.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    sockets: usize,
    pub(crate) disk_mb: f64,
    memory_mb: f64,
}

impl Limits {
    /// Reads and checks them.
    ///
    /// # Errors
    ///
    /// [`ReadError`] for one that nothing can be done with.
    pub(crate) fn read(field: &Field<'_>) -> Result<Self, ReadError> {
        Ok(Self {
            sockets: field.child("sockets").whole(LEAST_SOCKETS)? as usize,
            disk_mb: field.child("disk_mb").number(DISK)?,
            memory_mb: field.child("memory_mb").number_or(0.0, MEMORY)?,
        })
    }

    /// Descriptors for clients, and as many for receivers.
    pub(crate) fn share(&self) -> usize {
        self.sockets.saturating_sub(OTHER_SOCKETS) / 2
    }

    /// Memory for bodies that have not come whole: no more than all clients' connections can hold.
    pub(crate) fn body_bytes(&self) -> usize {
        let part = self.memory_mb.max(LEAST_MEMORY_MB) * 1_000_000.0 * BODY_PART;
        (part as usize).min(self.share().saturating_mul(MAX_BODY))
    }
}
