//! When a sender asks discovery for the list. No I/O, no clock.
//!
//! Where changes are pushed, discovery is an agent on the sender's own machine: it answers at once, at no cost, and
//! what it has counts as told. A sender asks it at once and, while it is silent, again and again after a short pause
//! that never grows: what the agent gets when discovery is back counts in that moment.
//!
//! Where changes come on request, all senders ask one discovery, and what it has counts as told some time later,
//! whether it has been asked or not. So from the beginning of a request that brings nothing, or from the last word
//! of a watch, to the beginning of the next request it is [`GAP`] at most, however often requests fail. Within that
//! the senders of a fleet take turns: each asks at a time of its own, so that they do not strike a discovery that has
//! just come back all at once.
//!
//! A discovery that has too much to do turns requests away at once, which costs it nothing, and gets through what it
//! takes. One that lets them stand in its queue first and fails them then works for nobody while so many ask so
//! often: only there are the pauses longer, as nobody would get a list otherwise.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_policy::interface::Discovery;

/// What discovery has counts as told so much later at the latest.
const TOLD: Duration = Duration::from_secs(6);
/// An answer of a discovery that many ask takes so long at most: it turns away what would take longer.
const ANSWER: Duration = Duration::from_secs(2);
/// What connections, and both ends' own work, take of a request's time.
const MARGIN: Duration = Duration::from_millis(250);
/// From the beginning of a request without an answer to the beginning of the next at most: the answer to that one has
/// come before what it tells of counts as told.
const GAP: Duration = TOLD.saturating_sub(ANSWER).saturating_sub(MARGIN);
/// An agent's answer begins at once, and another is asked for soon if it does not.
const AGENT_ANSWER: Duration = Duration::from_millis(250);
const AGENT_PAUSE: Duration = Duration::from_millis(100);
/// What a request is taken to cost discovery, until it fails: that many senders' share of its time.
const COST: Duration = Duration::from_millis(100);
/// Senders whose requests together take no longer than this need no turns.
const FEW: Duration = Duration::from_secs(1);
/// Pauses of a sender that need not think of others.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A request that is refused after so long has stood in a queue.
const QUEUED: Duration = Duration::from_secs(1);
/// The span of pauses after a refusal in the queue, in multiples of what all their requests take.
const WIDEST: f64 = 1.5;
/// However many they are: news of the list must come in the end.
const LONGEST_ROUND: Duration = Duration::from_secs(20);
/// The share of the time within which a sender has to ask that is used: a request takes its time, too.
const ASK_PART: f64 = 0.9;
/// After a refusal in the queue it has so many times as long.
const ASK_AFTER_QUEUE: u32 = 4;

/// How a sender comes by the list.
#[derive(Debug)]
enum Way {
    /// From an agent of its own.
    Agent,
    /// Beside few others; how long its next pause is.
    Few { pause: Duration },
    /// In turns: each asks once in a round, one after the other. How late a sender may ask that has not asked yet.
    Turns { round: Duration, within: Duration },
}

/// The pauses between one sender's requests for the list.
#[derive(Debug)]
pub struct PollSchedule {
    rng: ChaCha8Rng,
    way: Way,
}

impl PollSchedule {
    /// Of one among `peers` senders, by the ways of their discovery.
    pub fn new(discovery: Discovery, peers: usize, seed: u64) -> Self {
        let round = COST.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX)).min(LONGEST_ROUND);
        let way = match discovery {
            Discovery::Pushed => Way::Agent,
            Discovery::OnRequest { .. } if round <= FEW => Way::Few { pause: FIRST_PAUSE },
            Discovery::OnRequest { ask_within } => {
                // Without a bound the round itself is one.
                let told = Duration::try_from_secs_f64(ask_within / 1_000.0).ok();
                let within = told.filter(|told| !told.is_zero()).map(|told| told.mul_f64(ASK_PART));
                Way::Turns { round, within: within.unwrap_or(LONGEST_ROUND) }
            }
        };
        Self { rng: ChaCha8Rng::seed_from_u64(seed), way }
    }

    /// Whether there are so many senders that they have to take turns.
    pub(crate) fn takes_turns(&self) -> bool {
        matches!(self.way, Way::Turns { .. })
    }

    /// How long after a start, or after a move to another address, the first request is made: senders start and move
    /// together, above all after a failure.
    pub(crate) fn at_start(&mut self) -> Duration {
        match self.way {
            Way::Agent | Way::Few { .. } => Duration::ZERO,
            Way::Turns { round, within, .. } => self.draw(round.min(within).min(GAP)),
        }
    }

    /// For how long an answer may keep its asker waiting before it begins.
    pub(crate) fn patience(&self) -> Duration {
        match self.way {
            Way::Agent => AGENT_ANSWER,
            // Some time for a refusal that comes when the answer should have.
            Way::Few { .. } | Way::Turns { .. } => ANSWER + MARGIN,
        }
    }

    /// An answer came: the next failure is a first one.
    pub(crate) fn heard(&mut self) {
        if let Way::Few { pause } = &mut self.way {
            *pause = FIRST_PAUSE;
        }
    }

    /// The pause after a request or a watch that has ended; `spent` is how long ago the request began, or the watch
    /// last said something.
    pub(crate) fn after(&mut self, spent: Duration) -> Duration {
        let left = GAP.saturating_sub(spent).max(FIRST_PAUSE);
        match &mut self.way {
            Way::Agent => AGENT_PAUSE,
            Way::Few { pause } => {
                let now = *pause;
                *pause = (now * 2).min(LONGEST_PAUSE);
                now.min(left)
            }
            Way::Turns { round, .. } => {
                let most = left.min(*round);
                self.draw(most)
            }
        }
    }

    /// The pause after a request that discovery refused when it was `spent` old.
    pub(crate) fn after_refusal(&mut self, spent: Duration) -> Duration {
        match self.way {
            Way::Turns { round, within } if spent >= QUEUED => {
                self.draw(round.mul_f64(WIDEST).min(LONGEST_ROUND).min(within * ASK_AFTER_QUEUE))
            }
            _ => self.after(spent),
        }
    }

    /// In seconds, for simulated time: after nothing (`None`) the pause before the first request; after a refusal that
    /// came so late the pause from there; without an answer (infinitely late) the time from the request to the next.
    pub fn pauses(mut self) -> impl FnMut(Option<f64>) -> f64 {
        move |refused| {
            let pause = match refused.map(Duration::try_from_secs_f64) {
                None => self.at_start(),
                Some(Ok(after)) => self.after_refusal(after),
                Some(Err(_)) => self.patience() + self.after(self.patience()),
            };
            pause.as_secs_f64()
        }
    }

    /// Uniform, from nothing to `most`.
    fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64((self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64)
    }
}

#[cfg(test)]
mod tests;
