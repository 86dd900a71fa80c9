//! Computes how many messages of each tenant the whole fleet accepted, as an interval that contains the true number.
//!
//! Each incarnation of a sender counts its accepted messages by tenant in one register for each epoch. The interval is
//! computed from the registers of this sender, the registers that other senders reported, and received slices, each of
//! which is the sum of many senders' registers.
//!
//! Invariant: the number of messages of a tenant accepted within an epoch lies in the computed interval, even if datagrams
//! are lost, duplicated, late or replayed, as long as no sender accepts more than the configured maximum.
//!
//! Registers with the same [`RegisterKey`] are merged by the maximum of each total and never added. Registers with different
//! keys are added, including those of two incarnations of one sender.

mod epochs;
mod local_sender;
mod quota;
mod reading;
mod register;
mod window_slice;

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::membership::Incarnation;
pub use epochs::{EPOCH_LENGTH, READ_LAG, read_epochs};
use epochs::{RETAINED_EPOCHS, is_accepted, retained_epochs};
pub(crate) use epochs::{epoch_at, epoch_start};
pub use local_sender::LocalSender;
pub use quota::{MAX_TOTAL_SHARE, QuotaBucket, quota_share};
pub use reading::UsageInterval;
pub(crate) use register::MAX_LISTED_TENANTS;
pub use register::{Register, RegisterKey, TenantTotal};
use window_slice::FleetLimits;
pub(crate) use window_slice::SenderRegister;
pub use window_slice::WindowSlice;

/// Maximum number of incarnations of one sender whose registers are stored for an epoch; the newest ones are stored.
const MAX_INCARNATIONS: usize = 2;
/// Maximum number of received slices that are stored for an epoch; those with the most complete senders are stored.
const MAX_SLICES: usize = 4;

type EpochRegisters = BTreeMap<RegisterKey, Register>;

/// A slice received from the sender that aggregated it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReceivedSlice {
    aggregator: usize,
    slice: WindowSlice,
}

/// The registers of this sender and of the senders that reported to it, and the slices that other senders aggregated.
///
/// At most `RETAINED_EPOCHS` epochs are stored, each with at most two registers for each sender and four received slices.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{Incarnation, LocalSender, TenantUsage};
/// let local = LocalSender {
///     number: 0,
///     incarnation: Incarnation(1),
///     complete_from: UnixMillis::EPOCH,
///     max_messages_per_second: 100,
/// };
/// let mut usage = TenantUsage::new(local, 3);
/// usage.record_message(UnixMillis(1_500), 7);
/// let read = usage.read(UnixMillis(5_000), 7, 1);
/// assert_eq!((read.min, read.max, read.senders), (1, 201, 1)); // each of the other two accepted at most 100
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenantUsage {
    local: LocalSender,
    limits: FleetLimits,
    /// The registers of this sender and its reporters, by epoch.
    registers: BTreeMap<u64, EpochRegisters>,
    /// The received slices, by epoch.
    slices: BTreeMap<u64, Vec<ReceivedSlice>>,
}

impl TenantUsage {
    /// Creates an empty usage for a fleet of `senders` senders, of which `local` runs in this process.
    pub fn new(local: LocalSender, senders: usize) -> Self {
        let limits = FleetLimits { senders, max_per_sender: local.max_messages_per_epoch() };
        Self { local, limits, registers: BTreeMap::new(), slices: BTreeMap::new() }
    }

    /// Counts one message that this sender accepted at `now`; `tenant` is the tenant's index in the settings.
    pub fn record_message(&mut self, now: UnixMillis, tenant: u16) {
        self.drop_unretained_epochs(now);
        let epoch = epoch_at(now);
        let empty = self.local.empty_register(epoch);
        let registers = self.registers.entry(epoch).or_default();
        let own_register = registers.entry(self.local.register_key()).or_insert(empty);
        let total = own_register.totals.entry(tenant).or_default();
        *total = total.saturating_add(1);
    }

    /// This sender's own register of an epoch, as it is sent in a report.
    ///
    /// `None` if the epoch is not over, if it is no longer retained, or if it ended before the process started.
    pub fn own_register(&self, now: UnixMillis, epoch: u64) -> Option<Register> {
        let ends_after_start = epoch_start(epoch.saturating_add(1)) > UnixMillis(self.local.incarnation.0);
        let is_retained = epoch < epoch_at(now) && epoch + RETAINED_EPOCHS > epoch_at(now);
        if !(ends_after_start && is_retained) {
            return None;
        }
        let registers = self.registers.get(&epoch);
        let stored = registers.and_then(|registers| registers.get(&self.local.register_key()));
        let register = stored.cloned().unwrap_or_else(|| self.local.empty_register(epoch));
        Some(register.truncated())
    }

    /// Merges a register from another sender's report. Returns whether the register was accepted.
    ///
    /// The register is rejected if its epoch is in the future or no longer retained, if the sender is this one or unknown, or
    /// if the register has more messages than a sender accepts in an epoch.
    pub fn merge_register(
        &mut self,
        now: UnixMillis,
        key: RegisterKey,
        epoch: u64,
        register: &Register,
    ) -> bool {
        self.drop_unretained_epochs(now);
        let is_peer = self.is_peer(key.sender);
        if !is_peer || !is_accepted(now, epoch) || !register.is_plausible(self.limits.max_per_sender) {
            return false;
        }
        let registers = self.registers.entry(epoch).or_default();
        registers.entry(key).or_default().merge(&register.clone().truncated());
        limit_incarnations(registers, key.sender);
        true
    }

    /// The sum of the registers of this sender and all its reporters for an epoch. `None` if the epoch is not over, or if no
    /// register of it is stored.
    pub fn aggregate(&self, now: UnixMillis, epoch: u64) -> Option<WindowSlice> {
        if epoch >= epoch_at(now) {
            return None;
        }
        let own_register = self.own_register(now, epoch);
        let own_key = self.local.register_key();
        let stored = self.registers.get(&epoch).into_iter().flatten();
        let reported = stored.filter(|(key, _)| **key != own_key);
        let reported = reported.map(|(key, register)| SenderRegister { sender: key.sender, register });
        let mut registers: Vec<SenderRegister<'_>> = reported.collect();
        registers.extend(
            own_register.iter().map(|own| SenderRegister { sender: self.local.number, register: own }),
        );
        (!registers.is_empty()).then(|| WindowSlice::sum(&registers, self.limits.senders))
    }

    /// Merges a slice that another sender aggregated. Returns whether the slice was accepted.
    ///
    /// The slice is rejected if its epoch is in the future or no longer retained, if the aggregator is this sender or
    /// unknown, or if the slice is impossible in a fleet of this size.
    pub fn merge_slice(
        &mut self,
        now: UnixMillis,
        aggregator: usize,
        epoch: u64,
        slice: &WindowSlice,
    ) -> bool {
        self.drop_unretained_epochs(now);
        let is_peer = self.is_peer(aggregator);
        if !is_peer || !is_accepted(now, epoch) || !slice.is_plausible(self.limits) {
            return false;
        }
        let slices = self.slices.entry(epoch).or_default();
        match slices.iter_mut().find(|received| received.aggregator == aggregator) {
            Some(received) => received.slice = received.slice.clone().max(slice.clone()),
            None => slices.push(ReceivedSlice { aggregator, slice: slice.clone() }),
        }
        retain_most_complete(slices);
        true
    }

    fn is_peer(&self, number: usize) -> bool {
        number < self.limits.senders && number != self.local.number
    }

    /// Removes the registers and slices of epochs that are not retained at `now`.
    fn drop_unretained_epochs(&mut self, now: UnixMillis) {
        let retained = retained_epochs(now);
        self.registers.retain(|epoch, _| retained.contains(epoch));
        self.slices.retain(|epoch, _| retained.contains(epoch));
    }
}

/// Removes the register of a sender's oldest incarnation if there are more than [`MAX_INCARNATIONS`].
fn limit_incarnations(registers: &mut EpochRegisters, sender: usize) {
    let first = RegisterKey { sender, incarnation: Incarnation(0) };
    let last = RegisterKey { sender, incarnation: Incarnation(u64::MAX) };
    if registers.range(first..=last).count() <= MAX_INCARNATIONS {
        return;
    }
    if let Some((&oldest, _)) = registers.range(first..=last).next() {
        registers.remove(&oldest);
    }
    // The number of messages that the removed incarnation accepted is unknown from now on.
    for (_, register) in registers.range_mut(first..=last) {
        register.partial = true;
    }
}

/// Removes all but the [`MAX_SLICES`] slices with the most complete senders. The result does not depend on the order in
/// which the slices were received.
fn retain_most_complete(slices: &mut Vec<ReceivedSlice>) {
    slices.sort_by(|left, right| {
        let by_senders = right.slice.complete_senders().cmp(&left.slice.complete_senders());
        let by_content = right.slice.cmp(&left.slice);
        by_senders.then(by_content).then(right.aggregator.cmp(&left.aggregator))
    });
    slices.truncate(MAX_SLICES);
}

#[cfg(test)]
mod tests;
