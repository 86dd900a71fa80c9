//! One sender's register of an epoch, and a pane: those of many senders added up.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Tenants that are told of in a register or a pane by name, those with most; the others are bounded by the rest.
pub const MOST_LISTED: usize = 16;

/// What one incarnation of a sender took on in an epoch that is over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    /// Messages by tenant (index in the settings).
    pub totals: BTreeMap<u16, u32>,
    /// Of each tenant that is not listed at most so many.
    pub rest: u32,
    /// Another process may have taken on messages in the epoch under the same number.
    pub partial: bool,
}

impl Register {
    /// Takes in another word of the same register: what is larger was told later, or is as true.
    pub(crate) fn join(&mut self, other: &Self) {
        for (tenant, n) in &other.totals {
            let total = self.totals.entry(*tenant).or_default();
            *total = (*total).max(*n);
        }
        self.rest = self.rest.max(other.rest);
        self.partial |= other.partial;
        self.shorten();
    }

    pub(crate) fn shortened(mut self) -> Self {
        self.shorten();
        self
    }

    fn shorten(&mut self) {
        while self.totals.len() > MOST_LISTED
            && let Some((n, tenant)) = self.totals.iter().map(|(tenant, n)| (*n, *tenant)).min()
        {
            self.totals.remove(&tenant);
            self.rest = self.rest.max(n);
        }
    }
}

/// The registers of many senders for one epoch, added up.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WindowSlice {
    /// A bit for each sender that is in it whole: the lowest of the first byte is number 0's.
    #[serde(deserialize_with = "crate::envelope::bounded::<64, _, _>")]
    whole: Vec<u8>,
    /// Senders that are in it in part: under an incarnation beside which there may have been another.
    partial: u16,
    #[serde(deserialize_with = "crate::envelope::bounded::<MOST_LISTED, _, _>")]
    totals: Vec<(u16, u32)>,
    /// To each tenant's total up to so many may have to be added.
    rest: u32,
}

impl WindowSlice {
    /// Adds up registers, each of a name (sender and incarnation) of its own, of a tier of `senders`.
    pub(crate) fn of(registers: &[(usize, &Register)], senders: usize) -> Self {
        let mut whole = vec![0_u8; senders.div_ceil(8)];
        let all: BTreeSet<usize> = registers.iter().map(|(from, _)| *from).collect();
        let partial: BTreeSet<usize> =
            registers.iter().filter(|(_, register)| register.partial).map(|(from, _)| *from).collect();
        for from in all.difference(&partial) {
            if let Some(byte) = whole.get_mut(from / 8) {
                *byte |= 1 << (from % 8);
            }
        }
        let mut totals: BTreeMap<u16, u32> = BTreeMap::new();
        for (tenant, n) in registers.iter().flat_map(|(_, register)| &register.totals) {
            let total = totals.entry(*tenant).or_default();
            *total = total.saturating_add(*n);
        }
        let rest = registers.iter().fold(0_u32, |rest, (_, register)| rest.saturating_add(register.rest));
        let partial = u16::try_from(partial.len()).unwrap_or(u16::MAX);
        let mut pane = Self { whole, partial, totals: totals.into_iter().collect(), rest };
        while pane.totals.len() > MOST_LISTED {
            pane.drop_least();
        }
        pane
    }

    /// Leaves the smallest total out; `false` if there is none.
    pub(crate) fn drop_least(&mut self) -> bool {
        let least = self.totals.iter().enumerate().min_by_key(|(_, (tenant, n))| (*n, *tenant));
        let Some((place, &(_, n))) = least else { return false };
        self.totals.remove(place);
        self.rest = self.rest.saturating_add(n);
        true
    }

    /// Tenants that it lists.
    pub(crate) fn tenants(&self) -> usize {
        self.totals.len()
    }

    /// Senders that are in it whole.
    pub fn whole_senders(&self) -> usize {
        self.whole.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Senders that are in it.
    pub fn senders(&self) -> usize {
        self.whole_senders() + usize::from(self.partial)
    }

    /// The numbers of those that are in it whole.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + '_ {
        let bits = |(place, byte): (usize, &u8)| {
            let byte = *byte;
            (0..8).filter(move |bit| byte & (1 << bit) != 0).map(move |bit| place * 8 + bit)
        };
        self.whole.iter().enumerate().flat_map(bits)
    }

    /// Between what a tenant handed in to all of a tier, of which each sender takes on `most` at most.
    pub(crate) fn ends(&self, tenant: u16, senders: usize, most: u64) -> (u64, u64) {
        let listed = self.totals.iter().find(|(of, _)| *of == tenant).map_or(0, |(_, n)| u64::from(*n));
        let unheard = senders.saturating_sub(self.whole_senders()) as u64;
        let unheard = unheard.saturating_mul(most);
        (listed, listed.saturating_add(u64::from(self.rest)).saturating_add(unheard))
    }

    /// Whether so many senders can have taken that on: nobody beyond the tier, each tenant once, no more than all take on.
    pub(crate) fn is_possible(&self, senders: usize, most: u64) -> bool {
        let all: u64 = self.totals.iter().map(|(_, n)| u64::from(*n)).sum();
        let once = self.totals.iter().map(|(tenant, _)| *tenant).collect::<BTreeSet<_>>();
        once.len() == self.totals.len()
            && self.whole.len() == senders.div_ceil(8)
            && self.numbers().all(|n| n < senders)
            && self.senders() <= senders
            && all <= most.saturating_mul(self.senders() as u64)
    }
}

/// At most so much a tenant handed in to all of a tier, by several panes of one epoch: each by itself, and each together
/// with those after it that have senders whom those before have not. What two have in common counts twice in that, which is
/// too much at worst; of whom none tells, `most` each.
pub(crate) fn most_of(panes: &[&WindowSlice], tenant: u16, senders: usize, most: u64) -> u64 {
    let from = |first: usize| {
        let (mut seen, mut told, mut least_most) = (BTreeSet::new(), 0_u64, u64::MAX);
        for pane in &panes[first..] {
            let before = seen.len();
            seen.extend(pane.numbers());
            if seen.len() > before {
                told = told.saturating_add(pane.ends(tenant, pane.whole_senders(), 0).1);
                let unheard = senders.saturating_sub(seen.len()) as u64;
                least_most = least_most.min(told.saturating_add(unheard.saturating_mul(most)));
            }
        }
        least_most
    };
    let of_nobody = (senders as u64).saturating_mul(most);
    (0..panes.len()).map(from).fold(of_nobody, u64::min)
}
