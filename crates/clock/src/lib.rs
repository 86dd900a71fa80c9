//! Wall clock time, for times that are sent to other processes or stored for a restarted one. Times that stay within a process
//! use monotonic clocks instead.
//!
//! A duration between two wall clock times is a plain number of milliseconds (`u64`).
#![forbid(unsafe_code)]

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point in time on the wall clock, in milliseconds since the Unix epoch (1970-01-01 00:00 UTC).
///
/// The operators `+` and `-` take a number of milliseconds and overflow as those of `u64` do.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// let start = UnixMillis(1_700_000_000_000);
/// let later = start + 250;
/// assert_eq!(later.millis_since(start), 250);
/// assert_eq!(start.millis_since(later), 0);
/// assert_eq!(UnixMillis(100).saturating_sub(250), UnixMillis::EPOCH);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// 1970-01-01 00:00 UTC, the earliest time that can be represented.
    pub const EPOCH: Self = Self(0);

    /// The current time of the system's wall clock; [`UnixMillis::EPOCH`] if the clock is set to an earlier time.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self(since_epoch.as_millis() as u64)
    }

    /// The time `millis` later, at most `u64::MAX` milliseconds after the epoch.
    #[must_use]
    pub const fn saturating_add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The time `millis` earlier, at least the epoch.
    #[must_use]
    pub const fn saturating_sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Milliseconds from `earlier` to this time; 0 if `earlier` is in fact later.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for UnixMillis {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0 + millis)
    }
}

impl AddAssign<u64> for UnixMillis {
    fn add_assign(&mut self, millis: u64) {
        *self = *self + millis;
    }
}

impl Sub<u64> for UnixMillis {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0 - millis)
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

#[cfg(test)]
mod tests;
