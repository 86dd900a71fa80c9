//! Encodes the times of a vote compactly, relative to the round of the message that contains the vote.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::outlier_detection::Vote;
use crate::tenant_usage::EPOCH_LENGTH;

/// Resolution of encoded times, in milliseconds. Times are rounded up to a multiple of it before they are encoded.
const TIME_STEP: u64 = 50;

/// A vote whose times are relative to a reference time, the end of the round that follows the message's round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedVote {
    /// Time from the last observation to the reference time, in units of `TIME_STEP`; saturates at the largest `u8`.
    pub(super) age: u8,
    /// Time from the first failure to the last observation, in units of `TIME_STEP`; saturates at the largest `u16`.
    pub(super) duration: u16,
    pub(super) recovered: bool,
}

impl EncodedVote {
    /// Encodes a vote for a message of `round`.
    pub fn new(round: u64, vote: &Vote) -> Self {
        let last_observed_at = vote.last_observed_at.0.div_ceil(TIME_STEP);
        let first_observed_at = vote.first_observed_at.0.div_ceil(TIME_STEP);
        Self {
            age: u8::try_from(reference_step(round).saturating_sub(last_observed_at)).unwrap_or(u8::MAX),
            duration: u16::try_from(last_observed_at.saturating_sub(first_observed_at)).unwrap_or(u16::MAX),
            recovered: vote.recovered,
        }
    }

    /// Decodes a vote from a message of `round`.
    pub fn decode(self, round: u64) -> Vote {
        let last_observed_at = reference_step(round).saturating_sub(u64::from(self.age));
        let first_observed_at = last_observed_at.saturating_sub(u64::from(self.duration));
        let time = |steps: u64| UnixMillis(steps.saturating_mul(TIME_STEP));
        Vote {
            last_observed_at: time(last_observed_at),
            first_observed_at: time(first_observed_at),
            recovered: self.recovered,
        }
    }
}

/// The reference time of `round`, in units of `TIME_STEP` since 1970.
fn reference_step(round: u64) -> u64 {
    round.saturating_add(2).saturating_mul(EPOCH_LENGTH / TIME_STEP)
}
