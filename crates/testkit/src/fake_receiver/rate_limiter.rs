//! A receiver's rate limit: a token bucket, or a fixed-window counter.

use crate::scenario::Limit;

/// Capacity of the token bucket, as the time in seconds in which an empty bucket is refilled.
const BURST_S: f64 = 0.5;

/// Rejection of a call that exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time until a call will be accepted if no other call arrives before, in microseconds.
    pub available_in_us: u64,
}

/// Decides which calls a receiver accepts. All times are microseconds of the same clock.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: Limit,
    per_s: f64,
    /// Whether rejected calls count against the limit too.
    counts_rejected: bool,
    /// Number of the current window since time 0.
    window: u64,
    /// Calls counted in the current window.
    counted_calls: f64,
    /// Tokens in the bucket at `refilled_us`; negative if rejected calls are counted.
    tokens: f64,
    /// Time of the last refill.
    refilled_us: u64,
}

impl RateLimiter {
    /// Creates a limiter with a full bucket or an empty window.
    pub fn new(limit: Limit, per_s: f64, counts_rejected: bool) -> Self {
        let tokens = per_s * BURST_S;
        Self { limit, per_s, counts_rejected, window: 0, counted_calls: 0.0, tokens, refilled_us: 0 }
    }

    /// Accepts or rejects a call at this time.
    ///
    /// # Errors
    ///
    /// [`LimitExceeded`] if the call is rejected.
    pub fn call(&mut self, now_us: u64) -> Result<(), LimitExceeded> {
        match self.limit {
            Limit::Rate => self.take_token(now_us),
            Limit::Window { window_ms } => self.count_in_window(now_us, window_ms.get().max(1) * 1_000),
        }
    }

    fn take_token(&mut self, now_us: u64) -> Result<(), LimitExceeded> {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        let capacity = (self.per_s * BURST_S).max(1.0);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(capacity);
        self.refilled_us = now_us;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / self.per_s;
        if self.counts_rejected {
            self.tokens = (self.tokens - 1.0).max(-self.per_s);
        }
        Err(LimitExceeded { available_in_us: (wait_s * 1e6) as u64 })
    }

    fn count_in_window(&mut self, now_us: u64, window_us: u64) -> Result<(), LimitExceeded> {
        let window = now_us / window_us;
        if window != self.window {
            self.window = window;
            self.counted_calls = 0.0;
        }
        let capacity = (self.per_s * window_us as f64 / 1e6).max(1.0);
        let is_accepted = self.counted_calls + 1.0 <= capacity;
        if is_accepted || self.counts_rejected {
            self.counted_calls += 1.0;
        }
        if is_accepted {
            Ok(())
        } else {
            Err(LimitExceeded { available_in_us: (self.window + 1) * window_us - now_us })
        }
    }
}
