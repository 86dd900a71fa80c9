//! A receiver's rate limit: a token bucket, or a count in fixed windows.

use crate::scenario::Limit;

/// Capacity of the token bucket, in seconds of its rate.
const BURST_S: f64 = 0.5;

/// A call beyond the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Microseconds until a call would be accepted if there were no other calls.
    pub available_in_us: u64,
}

/// Decides which calls a receiver accepts. Times are microseconds on any one clock.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: Limit,
    per_s: f64,
    counts_rejected: bool,
    /// Index of the current window.
    window: u64,
    /// Calls counted in it.
    used: f64,
    /// Tokens in the bucket as of `refilled_us`.
    tokens: f64,
    refilled_us: u64,
}

impl RateLimiter {
    /// A limiter that has accepted nothing yet.
    pub fn new(limit: Limit, per_s: f64, counts_rejected: bool) -> Self {
        let tokens = per_s * BURST_S;
        Self { limit, per_s, counts_rejected, window: 0, used: 0.0, tokens, refilled_us: 0 }
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
            self.used = 0.0;
        }
        let capacity = (self.per_s * window_us as f64 / 1e6).max(1.0);
        let is_accepted = self.used + 1.0 <= capacity;
        if is_accepted || self.counts_rejected {
            self.used += 1.0;
        }
        if is_accepted {
            Ok(())
        } else {
            Err(LimitExceeded { available_in_us: (self.window + 1) * window_us - now_us })
        }
    }
}
