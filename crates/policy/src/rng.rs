//! Chance, from a seed. No decision.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::interface::Millis;

/// A pause is drawn evenly between these multiples of its mean.
const SPREAD: (f64, f64) = (0.6, 1.4);

/// Draws, the same for a seed each time.
#[derive(Debug)]
pub(crate) struct Rng(ChaCha8Rng);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// From 0 up to 1, evenly.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A pause with such a mean.
    pub fn pause(&mut self, mean: Millis) -> Millis {
        mean * (SPREAD.0 + (SPREAD.1 - SPREAD.0) * self.unit())
    }
}
