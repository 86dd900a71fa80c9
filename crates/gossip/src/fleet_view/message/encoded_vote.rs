//! The compact encoding of a vote's times, relative to the round of the message that carries it.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::outlier_detection::Vote;
use crate::tenant_usage::EPOCH;

/// Resolution of times, in milliseconds; they are rounded up to a multiple of it on the wall clock.
const STEP: u64 = 50;

/// A vote with its times relative to the end of the round after its message's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedVote {
    /// Time from the last observation to that, in steps; saturated.
    pub(super) age: u8,
    /// Time from the first failure to the last observation, in steps; saturated.
    pub(super) duration: u16,
    pub(super) recovered: bool,
}

impl EncodedVote {
    /// Encodes a vote for a message of `round`.
    pub fn new(round: u64, vote: &Vote) -> Self {
        let last = vote.last.0.div_ceil(STEP);
        let first = vote.first.0.div_ceil(STEP);
        Self {
            age: u8::try_from(base_step(round).saturating_sub(last)).unwrap_or(u8::MAX),
            duration: u16::try_from(last.saturating_sub(first)).unwrap_or(u16::MAX),
            recovered: vote.recovered,
        }
    }

    /// Decodes a vote from a message of `round`.
    pub fn decode(self, round: u64) -> Vote {
        let last = base_step(round).saturating_sub(u64::from(self.age));
        let first = last.saturating_sub(u64::from(self.duration));
        let time = |steps: u64| UnixMillis(steps.saturating_mul(STEP));
        Vote { last: time(last), first: time(first), recovered: self.recovered }
    }
}

/// The end of the round after `round`, in steps since 1970.
fn base_step(round: u64) -> u64 {
    round.saturating_add(2).saturating_mul(EPOCH / STEP)
}
