//! Polling schedule for the endpoint list: request timeouts, retry delays and jitter. It uses no I/O and no clock.
//!
//! In the mode `pushed`, discovery is an agent on the sender's own machine, and the agent's list is in effect at once.
//! The sender polls the agent without an initial delay and retries after a short constant delay.
//!
//! In the mode `on_request`, all senders poll one discovery service, and a change is in effect
//! [`CHANGE_IN_EFFECT_AFTER`] after the service has it. At most [`MAX_POLL_GAP`] passes from the start of a request
//! that fails, or from the last event of a watch, to the start of the next request. Within that bound the requests of a
//! fleet are staggered with jitter, so that a service that has just recovered does not receive all of them at once.
//!
//! A service that sheds load rejects excess requests at once and serves those that it accepts. A service that queues
//! requests and fails them later would serve no sender at this rate, so the delays after such rejections are longer.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_policy::interface::Discovery;

/// Time from a change in discovery until the change is in effect.
const CHANGE_IN_EFFECT_AFTER: Duration = Duration::from_secs(6);
/// Maximum response time of a discovery service that many senders poll; it rejects requests that would take longer.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// Allowance in the duration of a request for connecting and for processing at both ends.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(250);
/// Maximum time from the start of a failed request to the start of the next one, whose response then arrives before the
/// changes in it are in effect.
const MAX_POLL_GAP: Duration =
    CHANGE_IN_EFFECT_AFTER.saturating_sub(MAX_RESPONSE_TIME).saturating_sub(REQUEST_OVERHEAD);
/// Maximum time from a request to a local agent until the response begins.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed request to a local agent.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Length of a polling round divided by the number of senders. In a round each sender sends one request.
const ROUND_TIME_PER_SENDER: Duration = Duration::from_millis(100);
/// Maximum length of a round in which requests are not staggered.
const MAX_UNSTAGGERED_ROUND: Duration = Duration::from_secs(1);
/// First delay of the exponential backoff, and lower bound of the maximum delays after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay of the exponential backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum response time after which a rejected request is assumed to have waited in a queue.
const QUEUED_REJECTION_AFTER: Duration = Duration::from_secs(1);
/// Maximum delay after a rejection from a queue, in rounds.
const QUEUED_REJECTION_ROUNDS: f64 = 1.5;
/// Maximum length of a round.
const MAX_ROUND: Duration = Duration::from_secs(20);
/// Fraction of the configured polling deadline within which requests start; the rest is for the request itself.
const POLL_DEADLINE_FRACTION: f64 = 0.9;
/// Maximum delay after a rejection from a queue, in polling deadlines.
const QUEUED_REJECTION_DEADLINES: u32 = 4;

/// How the delays between requests to discovery are determined.
#[derive(Debug)]
enum PollStrategy {
    /// Constant delays, for a local agent.
    LocalAgent,
    /// Exponential backoff, for a sender in a small fleet.
    Backoff {
        /// The delay after the next failure.
        next_delay: Duration,
    },
    /// Delays with jitter, for a sender in a large fleet, whose requests are spread over a round.
    Staggered {
        /// Time in which each sender polls once.
        round: Duration,
        /// Time within which a sender has to poll, from the configured polling deadline.
        poll_within: Duration,
    },
}

impl PollStrategy {
    /// The strategy of one sender in a fleet of `senders`.
    fn new(discovery: Discovery, senders: usize) -> Self {
        let Discovery::OnRequest { ask_within } = discovery else { return Self::LocalAgent };
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        let round = ROUND_TIME_PER_SENDER.saturating_mul(senders).min(MAX_ROUND);
        if round <= MAX_UNSTAGGERED_ROUND {
            return Self::Backoff { next_delay: MIN_BACKOFF };
        }
        let configured_deadline = Duration::try_from_secs_f64(ask_within / 1_000.0).ok();
        let poll_within = configured_deadline
            .filter(|deadline| !deadline.is_zero())
            .map_or(MAX_ROUND, |deadline| deadline.mul_f64(POLL_DEADLINE_FRACTION));
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
    /// Creates the schedule of one sender in a fleet of `senders`; `seed` makes the jitter reproducible.
    pub fn new(discovery: Discovery, senders: usize, seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), strategy: PollStrategy::new(discovery, senders) }
    }

    /// Whether the requests of the senders are staggered with jitter.
    pub(crate) fn is_staggered(&self) -> bool {
        matches!(self.strategy, PollStrategy::Staggered { .. })
    }

    /// The delay of the first request after a start or a change of the address, both of which may happen to many
    /// senders at the same moment.
    pub(crate) fn initial_delay(&mut self) -> Duration {
        match self.strategy {
            PollStrategy::LocalAgent | PollStrategy::Backoff { .. } => Duration::ZERO,
            PollStrategy::Staggered { round, poll_within } => {
                self.jitter(round.min(poll_within).min(MAX_POLL_GAP))
            }
        }
    }

    /// Maximum time from a request until the response begins.
    pub(crate) fn response_timeout(&self) -> Duration {
        match self.strategy {
            PollStrategy::LocalAgent => AGENT_RESPONSE_TIMEOUT,
            // The timeout is long enough to receive a rejection that is sent after the maximum response time.
            PollStrategy::Backoff { .. } | PollStrategy::Staggered { .. } => {
                MAX_RESPONSE_TIME + REQUEST_OVERHEAD
            }
        }
    }

    /// Resets the exponential backoff after a successful request.
    pub(crate) fn record_success(&mut self) {
        if let PollStrategy::Backoff { next_delay } = &mut self.strategy {
            *next_delay = MIN_BACKOFF;
        }
    }

    /// The delay after a request that failed, or a watch that ended. `elapsed` is the time since the start of the
    /// request, or since the last event of the watch.
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

    /// The schedule as a function for simulated time, in seconds. The argument is the result of the last request, and
    /// the function returns:
    ///
    /// - for `None`, if there was no request yet, the delay of the first request;
    /// - for the time after which the last request was rejected, the delay from the rejection to the next request;
    /// - for infinity, if the last request had no response, the time from that request to the next.
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
