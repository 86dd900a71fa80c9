//! The seeded random generator of the policy.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::interface::Millis;

/// Minimum of a random pause, as a multiple of its mean.
const MIN_PAUSE_MULTIPLE: f64 = 0.6;
/// Maximum of a random pause, as a multiple of its mean.
const MAX_PAUSE_MULTIPLE: f64 = 1.4;

/// A random generator that gives the same sequence for the same seed.
#[derive(Debug)]
pub(crate) struct Rng(ChaCha8Rng);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Draws a uniformly distributed number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a pause with this mean, uniformly distributed from [`MIN_PAUSE_MULTIPLE`] to
    /// [`MAX_PAUSE_MULTIPLE`] times the mean.
    pub fn pause(&mut self, mean: Millis) -> Millis {
        mean * (MIN_PAUSE_MULTIPLE + (MAX_PAUSE_MULTIPLE - MIN_PAUSE_MULTIPLE) * self.unit())
    }
}
