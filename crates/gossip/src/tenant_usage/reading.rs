//! Computes a tenant's usage as an interval that contains the true number of messages.

use std::collections::BTreeSet;

use rudderspindle_clock::UnixMillis;

use super::epochs::{epoch_start, oldest_retained_epoch, read_epochs};
use super::window_slice::{WindowSlice, combined_max};
use super::{ReceivedSlice, TenantUsage};

/// Inclusive bounds on the number of messages of a tenant that the fleet accepted in the epochs that were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageInterval {
    /// Lower bound, in messages.
    pub min: u64,
    /// Upper bound, in messages.
    pub max: u64,
    /// Smallest number of senders, including this one, whose usage is known in any of the epochs.
    pub senders: usize,
    /// End of the newest epoch in which another sender's usage is known; `None` if there is no such epoch.
    pub newest_epoch_end: Option<UnixMillis>,
}

impl TenantUsage {
    /// Bounds on the number of messages of a tenant that all senders accepted in the epochs of
    /// [`super::read_epochs`].
    ///
    /// The bounds change a few times per second, when datagrams are received, and at the start of each epoch, when the next
    /// epoch becomes readable.
    pub fn read(&self, now: UnixMillis, tenant: u16, epochs: u64) -> UsageInterval {
        let mut total =
            UsageInterval { min: 0, max: 0, senders: self.limits.senders, newest_epoch_end: None };
        for epoch in read_epochs(now, epochs) {
            let interval = self.read_epoch(now, tenant, epoch);
            total.min = total.min.saturating_add(interval.min);
            total.max = total.max.saturating_add(interval.max);
            total.senders = total.senders.min(interval.senders);
            total.newest_epoch_end = total.newest_epoch_end.max(interval.newest_epoch_end);
        }
        total
    }

    /// The number of messages of a tenant that this incarnation accepted in the epochs that [`read`](Self::read) covers.
    pub fn read_own(&self, now: UnixMillis, tenant: u16, epochs: u64) -> u64 {
        let own_key = self.local.register_key();
        let own_total = |epoch| {
            let register = self.registers.get(&epoch)?.get(&own_key)?;
            register.totals.get(&tenant).copied().map(u64::from)
        };
        read_epochs(now, epochs).filter_map(own_total).sum()
    }

    /// Numbers of the senders whose usage is known for at least one retained epoch.
    pub fn known_senders(&self, now: UnixMillis) -> BTreeSet<usize> {
        let oldest = oldest_retained_epoch(now);
        let slices = self.slices.range(oldest..).flat_map(|(_, slices)| slices);
        let aggregated = slices.flat_map(|received| received.slice.complete_numbers());
        let register_keys = self.registers.range(oldest..).flat_map(|(_, registers)| registers.keys());
        aggregated.chain(register_keys.map(|key| key.sender)).collect()
    }

    /// Reads one epoch: intersects the intervals of all slices, each of which contains the true number.
    fn read_epoch(&self, now: UnixMillis, tenant: u16, epoch: u64) -> UsageInterval {
        let own_slice = self.aggregate(now, epoch).unwrap_or_default();
        let received = self.slices.get(&epoch).into_iter().flatten();
        let received = received.map(|ReceivedSlice { slice, .. }| slice);
        let slices: Vec<&WindowSlice> = received.chain([&own_slice]).collect();
        let senders = slices.iter().map(|slice| slice.senders()).max().unwrap_or_default();
        let newest_epoch_end = (senders > 1).then_some(epoch_start(epoch + 1));
        let bounds = slices.iter().map(|slice| slice.bounds(tenant, self.limits));
        let min = bounds.clone().map(|bounds| bounds.min).max().unwrap_or_default();
        let max = combined_max(&slices, tenant, self.limits);
        if min <= max {
            return UsageInterval { min, max, senders, newest_epoch_end };
        }
        // The slices contradict each other, so at least one of them is false. The lower bound of this sender's own slice and
        // the largest of all upper bounds are used.
        let min = own_slice.bounds(tenant, self.limits).min;
        let max = bounds.map(|bounds| bounds.max).max().unwrap_or_default();
        UsageInterval { min, max, senders, newest_epoch_end }
    }
}
