//! A slice is the sum of many senders' registers for one epoch.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::register::{MAX_LISTED_TENANTS, Register, TenantTotal};
use crate::envelope::bounded;

/// Maximum length of the bit set of senders, in bytes: one bit for each of [`MAX_SENDERS`](crate::MAX_SENDERS) senders.
const MAX_BIT_SET_LEN: usize = 64;

/// The size of a fleet, and the maximum number of messages that a sender accepts in an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FleetLimits {
    /// Number of senders in the fleet.
    pub senders: usize,
    /// Maximum number of messages that one sender accepts in an epoch.
    pub max_per_sender: u64,
}

impl FleetLimits {
    /// Maximum number of messages that `senders` senders together accept in an epoch.
    fn max_messages(self, senders: usize) -> u64 {
        (senders as u64).saturating_mul(self.max_per_sender)
    }
}

/// Inclusive bounds on the number of messages of one tenant in one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    pub min: u64,
    pub max: u64,
}

/// A register with the number of its sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderRegister<'a> {
    pub sender: usize,
    pub register: &'a Register,
}

/// The sum of many senders' registers for one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WindowSlice {
    /// Bit set of the senders whose usage is complete; the lowest bit of the first byte is that of sender number 0.
    #[serde(deserialize_with = "bounded::<MAX_BIT_SET_LEN, _, _>")]
    complete_bits: Vec<u8>,
    /// Number of senders whose usage is partial, because another incarnation may have accepted messages in the epoch.
    partial_count: u16,
    /// Number of messages of each listed tenant.
    #[serde(deserialize_with = "bounded::<MAX_LISTED_TENANTS, _, _>")]
    totals: Vec<TenantTotal>,
    /// Upper bound on the number of messages of each tenant that are missing in the list of totals: of a listed tenant beyond
    /// its total, of any other tenant altogether.
    max_missing: u32,
}

impl WindowSlice {
    /// The sum of registers with different [keys](super::RegisterKey) in a fleet of `senders` senders.
    pub(crate) fn sum(registers: &[SenderRegister<'_>], senders: usize) -> Self {
        let all_senders: BTreeSet<usize> = registers.iter().map(|entry| entry.sender).collect();
        let partial_registers = registers.iter().filter(|entry| entry.register.partial);
        let partial_senders: BTreeSet<usize> = partial_registers.map(|entry| entry.sender).collect();
        let mut slice = Self {
            complete_bits: bit_set(all_senders.difference(&partial_senders).copied(), senders),
            partial_count: u16::try_from(partial_senders.len()).unwrap_or(u16::MAX),
            totals: sum_totals(registers),
            max_missing: registers
                .iter()
                .fold(0_u32, |max_missing, entry| max_missing.saturating_add(entry.register.max_unlisted)),
        };
        while slice.totals.len() > MAX_LISTED_TENANTS {
            slice.drop_smallest_total();
        }
        slice
    }

    /// Removes the smallest total from the list; `false` if there is none.
    pub(crate) fn drop_smallest_total(&mut self) -> bool {
        let by_messages = |(_, total): &(usize, &TenantTotal)| (total.messages, total.tenant);
        let smallest = self.totals.iter().enumerate().min_by_key(by_messages);
        let Some((position, &TenantTotal { messages, .. })) = smallest else { return false };
        self.totals.remove(position);
        self.max_missing = self.max_missing.saturating_add(messages);
        true
    }

    /// Number of listed tenants.
    pub(crate) fn listed_tenants(&self) -> usize {
        self.totals.len()
    }

    /// Number of senders whose usage is complete.
    pub fn complete_senders(&self) -> usize {
        self.complete_bits.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Number of senders whose usage is included in the sum, complete or partial.
    pub fn senders(&self) -> usize {
        self.complete_senders() + usize::from(self.partial_count)
    }

    /// Numbers of the senders whose usage is complete.
    pub fn complete_numbers(&self) -> impl Iterator<Item = usize> + '_ {
        let numbers_of_byte = |(position, &byte): (usize, &u8)| {
            (0..8).filter(move |bit| byte & (1 << bit) != 0).map(move |bit| position * 8 + bit)
        };
        self.complete_bits.iter().enumerate().flat_map(numbers_of_byte)
    }

    /// Bounds on the number of messages of a tenant that the whole fleet accepted in the epoch.
    pub(crate) fn bounds(&self, tenant: u16, limits: FleetLimits) -> Bounds {
        let unknown_senders = limits.senders.saturating_sub(self.complete_senders());
        let max = self.max_of_included(tenant).saturating_add(limits.max_messages(unknown_senders));
        Bounds { min: self.listed_total(tenant), max }
    }

    /// Whether the slice is possible in a fleet with these limits: its sender numbers are below the fleet's size, it lists
    /// each tenant once, and its messages do not exceed the maximum of its senders.
    pub(crate) fn is_plausible(&self, limits: FleetLimits) -> bool {
        let messages: u64 = self.totals.iter().map(|total| u64::from(total.messages)).sum();
        let tenants: BTreeSet<u16> = self.totals.iter().map(|total| total.tenant).collect();
        tenants.len() == self.totals.len()
            && self.complete_bits.len() == limits.senders.div_ceil(8)
            && self.complete_numbers().all(|number| number < limits.senders)
            && self.senders() <= limits.senders
            && messages <= limits.max_messages(self.senders())
    }

    fn listed_total(&self, tenant: u16) -> u64 {
        let total = self.totals.iter().find(|total| total.tenant == tenant);
        total.map_or(0, |total| u64::from(total.messages))
    }

    /// Upper bound on the number of messages of a tenant that the senders included in the sum accepted.
    fn max_of_included(&self, tenant: u16) -> u64 {
        self.listed_total(tenant).saturating_add(u64::from(self.max_missing))
    }
}

/// Upper bound on the number of messages of a tenant that the fleet accepted, from several slices of one epoch.
///
/// The result is the smallest bound that follows from any slice alone, or from any slice together with those of the
/// following ones that add senders. The messages of senders in two slices are counted twice, which only raises the bound.
pub(crate) fn combined_max(slices: &[&WindowSlice], tenant: u16, limits: FleetLimits) -> u64 {
    let fleet_max = limits.max_messages(limits.senders);
    let bounds = (0..slices.len()).map(|first| max_of_union(&slices[first..], tenant, limits));
    bounds.fold(fleet_max, u64::min)
}

/// The smallest upper bound that follows from the first slice alone, or from its union with those of the following ones that
/// add senders.
fn max_of_union(slices: &[&WindowSlice], tenant: u16, limits: FleetLimits) -> u64 {
    let mut known_senders = BTreeSet::new();
    let mut known_max = 0_u64;
    let mut smallest_max = u64::MAX;
    for slice in slices {
        let count_before = known_senders.len();
        known_senders.extend(slice.complete_numbers());
        if known_senders.len() > count_before {
            known_max = known_max.saturating_add(slice.max_of_included(tenant));
            let unknown_senders = limits.senders.saturating_sub(known_senders.len());
            smallest_max = smallest_max.min(known_max.saturating_add(limits.max_messages(unknown_senders)));
        }
    }
    smallest_max
}

/// A bit set with `senders` bits, in which the bits of `numbers` are set.
fn bit_set(numbers: impl Iterator<Item = usize>, senders: usize) -> Vec<u8> {
    let mut bits = vec![0_u8; senders.div_ceil(8)];
    for number in numbers {
        if let Some(byte) = bits.get_mut(number / 8) {
            *byte |= 1 << (number % 8);
        }
    }
    bits
}

/// The sum of each tenant's totals over all registers, in ascending order of tenants.
fn sum_totals(registers: &[SenderRegister<'_>]) -> Vec<TenantTotal> {
    let mut totals: BTreeMap<u16, u32> = BTreeMap::new();
    for (tenant, messages) in registers.iter().flat_map(|entry| &entry.register.totals) {
        let total = totals.entry(*tenant).or_default();
        *total = total.saturating_add(*messages);
    }
    totals.into_iter().map(|(tenant, messages)| TenantTotal { tenant, messages }).collect()
}
