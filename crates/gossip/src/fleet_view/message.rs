//! Bodies of the notes by which counts and judgements spread.

use serde::{Deserialize, Serialize};

use crate::envelope::{EnvelopeError, Kind, MAX_BODY_LEN, bounded, seal};
use crate::outlier_detection::{MAX_ANNOUNCED_VOTES, Receiver, Vote};
use crate::tenant_usage::{EPOCH, MAX_LISTED_TENANTS, Register, TenantTotal, WindowSlice};

/// Epochs of which a report tells, so that two lost ones are made up for.
pub(super) const MOST_REGISTERS: usize = 3;
/// Epochs of which a view tells, where there is room.
pub(super) const MOST_PANES: usize = 3;
/// Receivers of which a view tells.
pub(super) const MOST_RECEIVERS: usize = 6;
/// Judges of a receiver of which a view tells: one more than are needed, as the reader may be one.
pub(super) const MOST_JUDGES: usize = 4;
/// Times are told in such steps, ms, rounded up to the wall clock's.
const STEP: u64 = 50;

/// A judge's word, its times before the end of the round after the one it is told in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Aged {
    /// When it was last seen so, in steps before.
    ago: u8,
    /// How long before that it began, in steps; as long as can be said if longer.
    run: u16,
    back: bool,
}

fn base(round: u64) -> u64 {
    round.saturating_add(2).saturating_mul(EPOCH / STEP)
}

impl Aged {
    pub fn new(round: u64, word: &Vote) -> Self {
        let (last, first) = (word.last.div_ceil(STEP), word.first.div_ceil(STEP));
        let ago = u8::try_from(base(round).saturating_sub(last)).unwrap_or(u8::MAX);
        Self { ago, run: u16::try_from(last.saturating_sub(first)).unwrap_or(u16::MAX), back: word.recovered }
    }

    pub fn word(self, round: u64) -> Vote {
        let last = base(round).saturating_sub(u64::from(self.ago));
        let first = last.saturating_sub(u64::from(self.run));
        Vote { last: last.saturating_mul(STEP), first: first.saturating_mul(STEP), recovered: self.back }
    }
}

/// A register as it is told, `back` epochs before the last one that was over when the round began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnnouncedRegister {
    pub back: u8,
    #[serde(deserialize_with = "bounded::<MAX_LISTED_TENANTS, _, _>")]
    totals: Vec<TenantTotal>,
    rest: u32,
    partial: bool,
}

impl AnnouncedRegister {
    pub fn new(back: u8, register: Register) -> Self {
        let Register { totals, rest, partial } = register;
        let totals = totals.into_iter().map(|(tenant, messages)| TenantTotal { tenant, messages });
        Self { back, totals: totals.collect(), rest, partial }
    }

    /// Of a tenant that is told of twice the last word counts.
    pub fn register(self) -> Register {
        let totals = self.totals.into_iter().map(|total| (total.tenant, total.messages));
        Register { totals: totals.collect(), rest: self.rest, partial: self.partial }
    }
}

/// What one sender tells the one that adds up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    pub incarnation: u64,
    pub round: u64,
    #[serde(deserialize_with = "bounded::<MOST_REGISTERS, _, _>")]
    pub registers: Vec<AnnouncedRegister>,
    #[serde(deserialize_with = "bounded::<MAX_ANNOUNCED_VOTES, _, _>")]
    pub words: Vec<(Receiver, Aged)>,
}

/// What is told of one receiver: by judge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Ejection {
    pub receiver: Receiver,
    #[serde(deserialize_with = "bounded::<MOST_JUDGES, _, _>")]
    pub judges: Vec<(u16, Aged)>,
}

/// A pane as it is told, so many epochs back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnnouncedWindowSlice {
    pub back: u8,
    pub pane: WindowSlice,
}

/// What all that told it counted, and judged in the reader's hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct View {
    pub incarnation: u64,
    pub round: u64,
    #[serde(deserialize_with = "bounded::<MOST_PANES, _, _>")]
    pub panes: Vec<AnnouncedWindowSlice>,
    #[serde(deserialize_with = "bounded::<MOST_RECEIVERS, _, _>")]
    pub words: Vec<Ejection>,
}

/// The epoch that is so far back from a round.
pub(super) fn epoch_of(round: u64, back: u8) -> Option<u64> {
    round.checked_sub(1 + u64::from(back))
}

impl Report {
    /// Without the oldest epochs where there is no room for them: they were told before.
    pub fn encode(mut self) -> Result<Vec<u8>, EnvelopeError> {
        while too_long(&self) && self.registers.len() > 1 {
            self.registers.pop();
        }
        seal(Kind::Report, &self)
    }
}

impl View {
    /// Without what matters least where there is no room: the older epochs, small tenants down to eight, the receivers with
    /// the fewest judges, then the other tenants.
    pub fn encode(mut self) -> Result<Vec<u8>, EnvelopeError> {
        while too_long(&self) {
            let tenants = self.panes.first().map_or(0, |told| told.pane.listed_tenants());
            if self.panes.len() > 1 || (tenants == 0 && self.words.is_empty()) {
                if self.panes.pop().is_none() {
                    break;
                }
            } else if tenants > MAX_LISTED_TENANTS / 2 || self.words.is_empty() {
                self.panes.iter_mut().for_each(|told| {
                    told.pane.drop_smallest_total();
                });
            } else {
                self.words.pop();
            }
        }
        seal(Kind::Summary, &self)
    }
}

fn too_long<T: Serialize>(body: &T) -> bool {
    postcard::to_allocvec(body).is_ok_and(|bytes| bytes.len() > MAX_BODY_LEN)
}

#[cfg(test)]
mod golden;
