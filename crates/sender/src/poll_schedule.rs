//! Polling schedule for the endpoint list: request timeouts, retry pauses and jitter. No I/O, no clock.
//!
//! Where changes are pushed, discovery is an agent on the sender's own machine: it responds at once, at no cost, and its
//! list is in effect at once. A sender polls it at once and, while it does not respond, after a short constant pause:
//! what the agent receives when discovery recovers is in effect at that moment.
//!
//! Where changes are fetched on request, all senders poll one discovery, and a change is in effect some time after
//! discovery has it, whether a sender has fetched it or not. So from the start of a request that fails, or from the last
//! event of a watch, to the start of the next request it takes [`MAX_POLL_GAP`] at most, however often requests fail.
//! Within that bound the requests of a fleet are staggered with jitter, so that a discovery that has just recovered does
//! not get all of them at once.
//!
//! A discovery that sheds load rejects requests at once, at no cost, and serves those that it accepts. One that queues
//! requests and fails them later serves nobody while so many poll so often: only there are the pauses longer, as no
//! sender would get a list otherwise.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_policy::interface::Discovery;

/// Time after which a change that discovery has is in effect.
const CHANGE_IN_EFFECT_AFTER: Duration = Duration::from_secs(6);
/// Maximum response time of a discovery that many senders poll: it rejects what would take longer.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// Share of a request's time for connecting, and for the work at both ends.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(250);
/// Maximum time from the start of a failed request to the start of the next one, whose response then arrives before the
/// changes that it reports are in effect.
const MAX_POLL_GAP: Duration =
    CHANGE_IN_EFFECT_AFTER.saturating_sub(MAX_RESPONSE_TIME).saturating_sub(REQUEST_OVERHEAD);
/// How long a local agent's response may take to begin.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a failed request to a local agent.
const AGENT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Assumed cost of a request for discovery; times the number of senders, it is the length of a round.
const ASSUMED_REQUEST_COST: Duration = Duration::from_millis(100);
/// Maximum length of a round that needs no staggering.
const MAX_UNSTAGGERED_ROUND: Duration = Duration::from_secs(1);
/// First pause of the exponential backoff, and the shortest pause of all.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause of the exponential backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A request that is rejected after this time has waited in a queue.
const QUEUED_REJECTION_AFTER: Duration = Duration::from_secs(1);
/// Longest pause after a rejection from a queue, in rounds.
const QUEUED_REJECTION_ROUNDS: f64 = 1.5;
/// Maximum length of a round: every sender gets changes in the end, however many senders there are.
const MAX_ROUND: Duration = Duration::from_secs(20);
/// Share of the configured polling deadline that is used: the request itself takes time, too.
const POLL_DEADLINE_SHARE: f64 = 0.9;
/// Longest pause after a rejection from a queue, in polling deadlines.
const QUEUED_REJECTION_DEADLINES: u32 = 4;

/// How a sender polls discovery.
#[derive(Debug)]
enum PollStrategy {
    /// A local agent of its own: constant pauses.
    LocalAgent,
    /// One of a few senders: exponential backoff.
    Backoff {
        /// The pause after the next failure.
        next_pause: Duration,
    },
    /// One of many senders: pauses with jitter that spread their requests over a round.
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
        let round = ASSUMED_REQUEST_COST.saturating_mul(senders).min(MAX_ROUND);
        if round <= MAX_UNSTAGGERED_ROUND {
            return Self::Backoff { next_pause: MIN_BACKOFF };
        }
        let configured = Duration::try_from_secs_f64(ask_within / 1_000.0).ok();
        let poll_within = configured
            .filter(|deadline| !deadline.is_zero())
            .map_or(MAX_ROUND, |deadline| deadline.mul_f64(POLL_DEADLINE_SHARE));
        Self::Staggered { round, poll_within }
    }
}

/// Timeouts and pauses of one sender's requests to discovery.
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

    /// Whether there are so many senders that their requests are staggered.
    pub(crate) fn is_staggered(&self) -> bool {
        matches!(self.strategy, PollStrategy::Staggered { .. })
    }

    /// The delay of the first request after a start or a change of the address: many senders start, and change, at the
    /// same moment, above all after a failure.
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
            // A rejection may come just when the response should have begun.
            PollStrategy::Backoff { .. } | PollStrategy::Staggered { .. } => {
                MAX_RESPONSE_TIME + REQUEST_OVERHEAD
            }
        }
    }

    /// Resets the exponential backoff after a response.
    pub(crate) fn record_success(&mut self) {
        if let PollStrategy::Backoff { next_pause } = &mut self.strategy {
            *next_pause = MIN_BACKOFF;
        }
    }

    /// The pause after a request that failed, or a watch that ended. `elapsed` is the time since the start of the request,
    /// or since the last event of the watch.
    pub(crate) fn pause_after_failure(&mut self, elapsed: Duration) -> Duration {
        let max_pause = MAX_POLL_GAP.saturating_sub(elapsed).max(MIN_BACKOFF);
        match &mut self.strategy {
            PollStrategy::LocalAgent => AGENT_RETRY_PAUSE,
            PollStrategy::Backoff { next_pause } => {
                let pause = *next_pause;
                *next_pause = (pause * 2).min(MAX_BACKOFF);
                pause.min(max_pause)
            }
            PollStrategy::Staggered { round, .. } => {
                let max_pause = max_pause.min(*round);
                self.jitter(max_pause)
            }
        }
    }

    /// The pause after a request that discovery rejected when `elapsed` had passed since its start.
    pub(crate) fn pause_after_rejection(&mut self, elapsed: Duration) -> Duration {
        match self.strategy {
            PollStrategy::Staggered { round, poll_within } if elapsed >= QUEUED_REJECTION_AFTER => {
                let max_pause = round.mul_f64(QUEUED_REJECTION_ROUNDS).min(MAX_ROUND);
                self.jitter(max_pause.min(poll_within * QUEUED_REJECTION_DEADLINES))
            }
            _ => self.pause_after_failure(elapsed),
        }
    }

    /// The schedule as a function for simulated time, in seconds. Its argument is `None` for the delay of the first
    /// request; the time after which the last request was rejected, for the pause from then on; or infinity for a request
    /// without a response, for the time from that request to the next.
    pub fn pauses(mut self) -> impl FnMut(Option<f64>) -> f64 {
        move |rejected_after| {
            let pause = match rejected_after.map(Duration::try_from_secs_f64) {
                None => self.initial_delay(),
                Some(Ok(elapsed)) => self.pause_after_rejection(elapsed),
                Some(Err(_)) => {
                    let elapsed = self.response_timeout();
                    elapsed + self.pause_after_failure(elapsed)
                }
            };
            pause.as_secs_f64()
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
