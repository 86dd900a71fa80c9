//! Random draws from a seed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::interface::Millis;

/// Minimum pause, as a multiple of its mean.
const MIN_PAUSE: f64 = 0.6;
/// Maximum pause, as a multiple of its mean.
const MAX_PAUSE: f64 = 1.4;

/// A generator whose draws are the same for the same seed.
#[derive(Debug)]
pub(crate) struct Rng(ChaCha8Rng);

impl Rng {
    /// A generator that starts from this seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number from 0 up to (not including) 1, evenly distributed.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A pause with this mean, evenly distributed around it.
    pub fn pause(&mut self, mean: Millis) -> Millis {
        mean * (MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE) * self.unit())
    }
}
