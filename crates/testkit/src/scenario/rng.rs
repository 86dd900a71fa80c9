//! A seeded generator of random numbers, which returns the same numbers on every machine.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use super::units::{Ms, Share};

/// A generator of random numbers from a seed.
#[derive(Clone, Debug)]
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// Creates a generator. Generators with the same seed return the same numbers.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number with uniform distribution, from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number with uniform distribution, from `low` up to but not including `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// An integer with uniform distribution, from `low` up to but not including `high`.
    pub fn integer(&mut self, low: u64, high: u64) -> u64 {
        low + (self.unit() * (high - low) as f64) as u64
    }

    /// Returns true with this probability, from 0 to 1.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A number with exponential distribution and this mean, such as the time between independent events.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A share with uniform distribution between `low` and `high`.
    pub(super) fn share(&mut self, low: f64, high: f64) -> Share {
        Share::clamped(self.between(low, high))
    }

    /// A time of whole milliseconds, from `low` up to but not including `high`.
    pub(super) fn ms(&mut self, low: u64, high: u64) -> Ms {
        Ms(self.integer(low, high))
    }
}
