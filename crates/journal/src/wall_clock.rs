//! Wall clock time, the only time that is meaningful to a later process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds of the wall clock since 1970; 0 if it is set to an earlier time.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
