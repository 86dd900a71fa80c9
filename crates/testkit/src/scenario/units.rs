//! Checked units of a scenario's figures.

use serde::{Deserialize, Serialize};

/// Highest rate of a scenario, per second.
const MAX_PER_SECOND: f64 = 100_000.0;
/// Longest time in a scenario, in milliseconds.
const MAX_MS: u64 = 3_600_000;

/// A figure that is out of the range of its unit.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum OutOfRange {
    /// Not a share.
    #[error("{0} is not a share from 0 to 1")]
    Share(f64),
    /// Not a rate.
    #[error("{0} is not a rate a second above 0, up to 100000")]
    PerSecond(f64),
    /// Not a time.
    #[error("{0} ms are more than an hour")]
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
    /// A share from a figure that is brought into its range.
    pub(super) fn clamped(value: f64) -> Self {
        Self(value.clamp(0.0, 1.0))
    }

    /// The figure.
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
    /// The figure.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// A time in milliseconds, up to an hour.
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
    /// The figure.
    pub fn get(self) -> u64 {
        self.0
    }

    /// As a [`Duration`](std::time::Duration).
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}
