//! Polling schedule for the endpoint list: request timeouts, retry delays and jitter. No I/O and no clock.
//!
//! Where changes are pushed, discovery is an agent on the sender's own machine, and its list is in effect at once. The
//! sender polls it without an initial delay and retries after a short constant delay.
//!
//! Where changes are fetched on request, all senders poll one discovery service, and a change is in effect
//! [`CHANGE_IN_EFFECT_AFTER`] after the service has it. From the start of a request that fails, or the last event of a
//! watch, to the start of the next request it takes at most [`MAX_POLL_GAP`]. Within that bound the requests of a fleet
//! are staggered with jitter, so that a service that has just recovered does not receive all of them at once.
//!
//! A service that sheds load rejects requests at once and serves those that it accepts. One that queues requests and
//! fails them later would serve no sender at this rate, so the delays after such rejections are longer.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_policy::interface::Discovery;

/// Time from a change in discovery until it is in effect.
const CHANGE_IN_EFFECT_AFTER: Duration = Duration::from_secs(6);
/// Maximum response time of a discovery service that many senders poll; it rejects requests that would take longer.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// Allowance in a request's time for connecting and for the processing at both ends.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(250);
/// Maximum time from the start of a failed request to the start of the next one, whose response then arrives before the
/// changes in it are in effect.
const MAX_POLL_GAP: Duration =
    CHANGE_IN_EFFECT_AFTER.saturating_sub(MAX_RESPONSE_TIME).saturating_sub(REQUEST_OVERHEAD);
/// How long a local agent's response may take to begin.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed request to a local agent.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time in a round for each sender's request.
const ROUND_TIME_PER_SENDER: Duration = Duration::from_millis(100);
/// Maximum length of a round without staggering.
const MAX_UNSTAGGERED_ROUND: Duration = Duration::from_secs(1);
/// First delay of the exponential backoff, and the minimum of all delays.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay of the exponential backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Response time from which on a rejected request counts as having waited in a queue.
const QUEUED_REJECTION_AFTER: Duration = Duration::from_secs(1);
/// Maximum delay after a rejection from a queue, in rounds.
const QUEUED_REJECTION_ROUNDS: f64 = 1.5;
/// Maximum length of a round.
const MAX_ROUND: Duration = Duration::from_secs(20);
/// Share of the configured polling deadline that is used; the rest is for the request itself.
const POLL_DEADLINE_SHARE: f64 = 0.9;
/// Maximum delay after a rejection from a queue, in polling deadlines.
const QUEUED_REJECTION_DEADLINES: u32 = 4;

/// How a sender polls discovery.
#[derive(Debug)]
enum PollStrategy {
    /// A local agent: constant delays.
    LocalAgent,
    /// One of a few senders: exponential backoff.
    Backoff {
        /// The delay after the next failure.
        next_delay: Duration,
    },
    /// One of many senders: delays with jitter that spread their requests over a round.
    Staggered {
        /// Time in which each sender polls once.
        round: Duration,
        /// Time within which a sender has to poll.
        poll_within: Duration,
    },
}

impl PollStrategy {
    /// The strategy of one among `senders` senders.
    fn new(discovery: Discovery, senders: usize) -> Self {
        let Discovery::OnRequest { ask_within } = discovery else { return Self::LocalAgent };
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        let round = ROUND_TIME_PER_SENDER.saturating_mul(senders).min(MAX_ROUND);
        if round <= MAX_UNSTAGGERED_ROUND {
            return Self::Backoff { next_delay: MIN_BACKOFF };
        }
        let configured = Duration::try_from_secs_f64(ask_within / 1_000.0).ok();
        let poll_within = configured
            .filter(|deadline| !deadline.is_zero())
            .map_or(MAX_ROUND, |deadline| deadline.mul_f64(POLL_DEADLINE_SHARE));
        Self::Staggered { round, poll_within }
    }
}

/// Timeouts and delays of one sender's requests to discovery.
#[derive(Debug)]
pub struct PollSchedule {
    rng: ChaCha8Rng,
    strategy: PollStrategy,
}

impl PollSchedule {
    /// A schedule for one among `peers` senders; `seed` makes its jitter reproducible.
    pub fn new(discovery: Discovery, peers: usize, seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), strategy: PollStrategy::new(discovery, peers) }
    }

    /// Whether the senders' requests are staggered.
    pub(crate) fn is_staggered(&self) -> bool {
        matches!(self.strategy, PollStrategy::Staggered { .. })
    }

    /// The delay of the first request after a start or a change of the address. Many senders may start at the same
    /// moment.
    pub(crate) fn initial_delay(&mut self) -> Duration {
        match self.strategy {
            PollStrategy::LocalAgent | PollStrategy::Backoff { .. } => Duration::ZERO,
            PollStrategy::Staggered { round, poll_within } => {
                self.jitter(round.min(poll_within).min(MAX_POLL_GAP))
            }
        }
    }

    /// How long a response may take to begin.
    pub(crate) fn response_timeout(&self) -> Duration {
        match self.strategy {
            PollStrategy::LocalAgent => AGENT_RESPONSE_TIMEOUT,
            // Late enough to receive a rejection after the full response time.
            PollStrategy::Backoff { .. } | PollStrategy::Staggered { .. } => {
                MAX_RESPONSE_TIME + REQUEST_OVERHEAD
            }
        }
    }

    /// Resets the exponential backoff after a response.
    pub(crate) fn record_success(&mut self) {
        if let PollStrategy::Backoff { next_delay } = &mut self.strategy {
            *next_delay = MIN_BACKOFF;
        }
    }

    /// The delay after a request that failed, or a watch that ended. `elapsed` is the time since the start of the request,
    /// or since the last event of the watch.
    pub(crate) fn delay_after_failure(&mut self, elapsed: Duration) -> Duration {
        let max_delay = MAX_POLL_GAP.saturating_sub(elapsed).max(MIN_BACKOFF);
        match &mut self.strategy {
            PollStrategy::LocalAgent => AGENT_RETRY_DELAY,
            PollStrategy::Backoff { next_delay } => {
                let delay = *next_delay;
                *next_delay = (delay * 2).min(MAX_BACKOFF);
                delay.min(max_delay)
            }
            PollStrategy::Staggered { round, .. } => {
                let max_delay = max_delay.min(*round);
                self.jitter(max_delay)
            }
        }
    }

    /// The delay after a request that discovery rejected `elapsed` after its start.
    pub(crate) fn delay_after_rejection(&mut self, elapsed: Duration) -> Duration {
        match self.strategy {
            PollStrategy::Staggered { round, poll_within } if elapsed >= QUEUED_REJECTION_AFTER => {
                let max_delay = round.mul_f64(QUEUED_REJECTION_ROUNDS).min(MAX_ROUND);
                self.jitter(max_delay.min(poll_within * QUEUED_REJECTION_DEADLINES))
            }
            _ => self.delay_after_failure(elapsed),
        }
    }

    /// The schedule as a function for simulated time, in seconds. With `None` it returns the delay of the first request;
    /// with the time after which the last request was rejected, the delay from the rejection to the next request; with
    /// infinity, for a request without a response, the time from that request to the next.
    pub fn delays(mut self) -> impl FnMut(Option<f64>) -> f64 {
        move |rejected_after| {
            let delay = match rejected_after.map(Duration::try_from_secs_f64) {
                None => self.initial_delay(),
                Some(Ok(elapsed)) => self.delay_after_rejection(elapsed),
                Some(Err(_)) => {
                    let elapsed = self.response_timeout();
                    elapsed + self.delay_after_failure(elapsed)
                }
            };
            delay.as_secs_f64()
        }
    }

    /// A random duration, uniform from zero to `max`.
    fn jitter(&mut self, max: Duration) -> Duration {
        let fraction = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        max.mul_f64(fraction)
    }
}

#[cfg(test)]
mod tests;
