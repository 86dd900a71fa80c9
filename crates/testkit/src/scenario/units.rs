//! The units of a scenario's values, whose ranges are checked when the scenario is parsed.

use serde::{Deserialize, Serialize};

/// Highest rate in a scenario, per second.
const MAX_PER_SECOND: f64 = 100_000.0;
/// Longest time in a scenario, in milliseconds.
const MAX_MS: u64 = 3_600_000;

/// A value that is out of the range of its unit.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum OutOfRange {
    /// A share is out of range.
    #[error("share is {0}: must be from 0 to 1")]
    Share(f64),
    /// A rate is out of range.
    #[error("rate is {0} per second: must be above 0 and at most 100000")]
    PerSecond(f64),
    /// A time is out of range.
    #[error("time is {0} ms: must be at most 3600000 ms (1 hour)")]
    Ms(u64),
}

/// A share from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Share(f64);

impl TryFrom<f64> for Share {
    type Error = OutOfRange;

    fn try_from(value: f64) -> Result<Self, OutOfRange> {
        if (0.0..=1.0).contains(&value) { Ok(Self(value)) } else { Err(OutOfRange::Share(value)) }
    }
}

impl Share {
    /// The share closest to a number, which may be out of range.
    pub(super) fn clamped(value: f64) -> Self {
        Self(value.clamp(0.0, 1.0))
    }

    /// The share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// A rate per second, above 0 and up to 100,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct PerSecond(pub(super) f64);

impl TryFrom<f64> for PerSecond {
    type Error = OutOfRange;

    fn try_from(value: f64) -> Result<Self, OutOfRange> {
        let is_in_range = value > 0.0 && value <= MAX_PER_SECOND;
        if is_in_range { Ok(Self(value)) } else { Err(OutOfRange::PerSecond(value)) }
    }
}

impl PerSecond {
    /// The rate as a number per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// A time in whole milliseconds, up to an hour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u64")]
pub struct Ms(pub(super) u64);

impl TryFrom<u64> for Ms {
    type Error = OutOfRange;

    fn try_from(value: u64) -> Result<Self, OutOfRange> {
        if value <= MAX_MS { Ok(Self(value)) } else { Err(OutOfRange::Ms(value)) }
    }
}

impl Ms {
    /// The time as a number of milliseconds.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The time as a [`Duration`](std::time::Duration).
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}
