//! Messages of the fleet view, carried in the [envelope](crate::envelope).

mod encoded_vote;
#[cfg(test)]
mod golden;

use serde::{Deserialize, Serialize};

use crate::envelope::{EnvelopeError, Kind, MAX_BODY_LEN, bounded, seal};
use crate::outlier_detection::{MAX_ANNOUNCED_VOTES, ReceiverId};
use crate::tenant_usage::{MAX_LISTED_TENANTS, Register, TenantTotal, WindowSlice};
pub(super) use encoded_vote::EncodedVote;

/// Maximum number of epochs in a report. Each epoch is included in three consecutive reports, so two of these may be lost.
pub(super) const MAX_REGISTERS: usize = 3;
/// Maximum number of epochs in a summary.
pub(super) const MAX_SLICES: usize = 3;
/// Maximum number of receivers in a summary.
pub(super) const MAX_RECEIVERS: usize = 6;
/// Maximum number of observers of a receiver in a summary: one more than a quorum, because the reader of the summary may be
/// one of them.
pub(super) const MAX_OBSERVERS: usize = 4;

/// One sender's register for one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RegisterEntry {
    /// Age of the epoch, in epochs: 0 is the last epoch that was over when the round began.
    pub epochs_back: u8,
    #[serde(deserialize_with = "bounded::<MAX_LISTED_TENANTS, _, _>")]
    totals: Vec<TenantTotal>,
    max_unlisted: u32,
    partial: bool,
}

impl RegisterEntry {
    pub fn new(epochs_back: u8, register: Register) -> Self {
        let Register { totals, max_unlisted, partial } = register;
        let totals = totals.into_iter().map(|(tenant, messages)| TenantTotal { tenant, messages });
        Self { epochs_back, totals: totals.collect(), max_unlisted, partial }
    }

    /// Converts the entry to a register. If a tenant is listed twice, the last total is used.
    pub fn register(self) -> Register {
        let totals = self.totals.into_iter().map(|total| (total.tenant, total.messages));
        Register { totals: totals.collect(), max_unlisted: self.max_unlisted, partial: self.partial }
    }
}

/// A sender's own vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VoteEntry {
    pub receiver: ReceiverId,
    pub vote: EncodedVote,
}

/// One sender's usage and votes for a round, sent to the aggregators of the round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    pub incarnation: u64,
    pub round: u64,
    #[serde(deserialize_with = "bounded::<MAX_REGISTERS, _, _>")]
    pub registers: Vec<RegisterEntry>,
    #[serde(deserialize_with = "bounded::<MAX_ANNOUNCED_VOTES, _, _>")]
    pub votes: Vec<VoteEntry>,
}

/// The vote of one observer on the receiver of the enclosing entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ObserverEntry {
    pub observer: u16,
    pub vote: EncodedVote,
}

/// The votes of several observers on one receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReceiverEntry {
    pub receiver: ReceiverId,
    #[serde(deserialize_with = "bounded::<MAX_OBSERVERS, _, _>")]
    pub votes: Vec<ObserverEntry>,
}

/// The usage of all reporters in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SliceEntry {
    /// Age of the epoch, in epochs: 0 is the last epoch that was over when the round began.
    pub epochs_back: u8,
    pub slice: WindowSlice,
}

/// An aggregator's response to a report: the usage of all reporters, and the votes of those senders that are in the same
/// zone as the reader of the summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Summary {
    pub incarnation: u64,
    pub round: u64,
    #[serde(deserialize_with = "bounded::<MAX_SLICES, _, _>")]
    pub slices: Vec<SliceEntry>,
    #[serde(deserialize_with = "bounded::<MAX_RECEIVERS, _, _>")]
    pub receivers: Vec<ReceiverEntry>,
}

/// The epoch that is `epochs_back` epochs before the last one that was over when the round began; `None` if that is before
/// epoch 0.
pub(super) fn epoch_of(round: u64, epochs_back: u8) -> Option<u64> {
    round.checked_sub(1 + u64::from(epochs_back))
}

impl Report {
    /// Encodes the report. If it is too long, the oldest epochs are left out, because earlier reports contained them.
    pub fn encode(mut self) -> Result<Vec<u8>, EnvelopeError> {
        while is_too_long(&self) && self.registers.len() > 1 {
            self.registers.pop();
        }
        seal(Kind::Report, &self)
    }
}

impl Summary {
    /// Encodes the summary. If it is too long, the least important entries are left out.
    pub fn encode(mut self) -> Result<Vec<u8>, EnvelopeError> {
        while is_too_long(&self) && self.drop_least_important() {}
        seal(Kind::Summary, &self)
    }

    /// Removes one entry and returns `true`, or returns `false` if there is none.
    ///
    /// Entries are removed in this order: all epochs but the newest, the oldest first; the tenants with the fewest messages,
    /// until half of [`MAX_LISTED_TENANTS`] are listed; the receivers with the fewest down votes; the remaining tenants; the
    /// last epoch.
    fn drop_least_important(&mut self) -> bool {
        let listed_tenants = self.slices.first().map_or(0, |entry| entry.slice.listed_tenants());
        let has_votes = !self.receivers.is_empty();
        if self.slices.len() > 1 || (listed_tenants == 0 && !has_votes) {
            return self.slices.pop().is_some();
        }
        if has_votes && listed_tenants <= MAX_LISTED_TENANTS / 2 {
            self.receivers.pop();
            return true;
        }
        for entry in &mut self.slices {
            entry.slice.drop_smallest_total();
        }
        true
    }
}

fn is_too_long<T: Serialize>(body: &T) -> bool {
    postcard::to_allocvec(body).is_ok_and(|bytes| bytes.len() > MAX_BODY_LEN)
}
