//! Random numbers from a seed (SplitMix64), the same on every machine.

/// A source of random numbers; equal seeds give equal ones.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A whole number from 0 up to, not including, `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// A whole number from `from` to `to`, both included.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    /// True so many times in a thousand.
    pub fn per_mille(&mut self, chance: u64) -> bool {
        self.below(1_000) < chance
    }

    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}
