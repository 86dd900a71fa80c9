//! Random numbers from a seed (SplitMix64), the same on every machine.

/// A random number generator; the same seed gives the same numbers.
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns any 64-bit number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns an integer from 0 up to, but not including, `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns an integer from `from` to `to`, both included.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    /// Returns true with a probability of `probability` per thousand.
    pub fn per_mille(&mut self, probability: u64) -> bool {
        self.below(1_000) < probability
    }

    /// Returns one of `values`, which must not be empty.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}
