//! What each tenant hands in over the whole fleet: registers by sender, incarnation and epoch.
//!
//! Invariant: whatever is lost, doubled, late or replayed, what a tenant handed in within an epoch lies in the interval
//! that is read, as long as no sender takes on more than the stated most.
//!
//! A register is joined with what is known of the same name (the larger figure counts) and never added to it. Registers
//! of several names are added: of two incarnations of one sender within an epoch both are true.

mod quota;
mod register;

use std::collections::{BTreeMap, BTreeSet};

use crate::membership::Incarnation;
pub use quota::{MAX_USAGE, Quota, part};
pub(crate) use register::MOST_LISTED;
use register::most_of;
pub use register::{Register, WindowSlice};

/// Length of an epoch, ms of the shared wall clock.
pub const EPOCH: u64 = 1_000;
/// Epochs that are remembered, the one that runs among them: for a reading over six.
pub const KEPT: u64 = 10;
/// The newest epoch that is read is so many before the one that runs: it is told in the one after it and twice more, and the
/// answers come when those are over.
pub const LAG: u64 = 4;
/// Epochs that can be read at once at most.
pub const MOST_READ: u64 = KEPT - LAG;
/// Incarnations of one sender within one epoch whose registers are kept, the newest ones.
const MOST_LIVES: usize = 2;
/// Panes of one epoch that are kept, those of most senders.
const MOST_PANES: usize = 4;

/// What a tenant handed in lies between these, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// At least so many messages.
    pub least: u64,
    /// At most so many.
    pub most: u64,
    /// Senders that were heard, itself among them, in the epoch in which they were fewest.
    pub heard: usize,
    /// When the newest epoch ended in which others were heard, ms since 1970; nothing if there is none.
    pub at: Option<u64>,
}

/// The registers of one sender and of those that told it, and panes of others. At most [`KEPT`] epochs: in each two
/// registers for each sender and four panes; emptied as the epochs pass.
///
/// ```
/// use rudderspindle_gossip::{TenantUsage, Incarnation};
/// let mut counts = TenantUsage::new(0, 3, Incarnation(1), 0, 100);
/// counts.handed_in(1_500, 7);
/// let read = counts.read(5_000, 7, 1);
/// assert_eq!((read.least, read.most, read.heard), (1, 201, 1)); // 100 at most from each of two unheard
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenantUsage {
    me: usize,
    senders: usize,
    incarnation: Incarnation,
    whole_from: u64,
    most: u64,
    registers: BTreeMap<u64, BTreeMap<(usize, Incarnation), Register>>,
    panes: BTreeMap<u64, Vec<(usize, WindowSlice)>>,
}

impl TenantUsage {
    /// Sender number `me` of `senders`, under that incarnation. Up to `whole_from`, ms since 1970, another process may
    /// have taken on, or takes on beside it, under its number: epochs that began by then are partial. One sender, with
    /// all its processes, takes on `most_per_s` messages a second at most.
    pub fn new(
        me: usize,
        senders: usize,
        incarnation: Incarnation,
        whole_from: u64,
        most_per_s: u32,
    ) -> Self {
        let (registers, panes) = (BTreeMap::new(), BTreeMap::new());
        let most = u64::from(most_per_s) * EPOCH / 1_000;
        Self { me, senders, incarnation, whole_from, most, registers, panes }
    }

    /// A message of that tenant (its index in the settings) was taken on here.
    pub fn handed_in(&mut self, now: u64, tenant: u16) {
        self.forget(now);
        let epoch = now / EPOCH;
        let partial = epoch * EPOCH <= self.whole_from;
        let name = (self.me, self.incarnation);
        let new = || Register { partial, ..Register::default() };
        let own = self.registers.entry(epoch).or_default().entry(name).or_insert_with(new);
        let total = own.totals.entry(tenant).or_default();
        *total = total.saturating_add(1);
    }

    /// What this sender tells of an epoch; nothing of one that is not over, is forgotten, or ended before its start.
    pub fn own(&self, now: u64, epoch: u64) -> Option<Register> {
        let started = epoch.saturating_add(1).saturating_mul(EPOCH) > self.incarnation.0;
        let known = started && epoch < now / EPOCH && epoch + KEPT > now / EPOCH;
        let partial = epoch.saturating_mul(EPOCH) <= self.whole_from;
        let quiet = Register { partial, ..Register::default() };
        let told = self.registers.get(&epoch).and_then(|all| all.get(&(self.me, self.incarnation)));
        known.then(|| told.cloned().unwrap_or(quiet).shortened())
    }

    /// Takes in what a sender tells of an epoch; `false` if it is of no epoch that is over and remembered, of nobody of
    /// the tier, of this sender itself, or says more than a sender takes on.
    pub fn hear(
        &mut self,
        now: u64,
        from: usize,
        incarnation: Incarnation,
        epoch: u64,
        register: &Register,
    ) -> bool {
        self.forget(now);
        let all: u64 = register.totals.values().fold(0, |all, n| all.saturating_add(u64::from(*n)));
        let too_much = all > self.most || u64::from(register.rest) > self.most;
        if from >= self.senders || from == self.me || !Self::remembers(now, epoch) || too_much {
            return false;
        }
        let lives = self.registers.entry(epoch).or_default();
        lives.entry((from, incarnation)).or_default().join(&register.clone().shortened());
        let of_it = lives.range((from, Incarnation(0))..=(from, Incarnation(u64::MAX)));
        if of_it.clone().count() > MOST_LIVES
            && let Some(oldest) = of_it.map(|(name, _)| *name).next()
        {
            lives.remove(&oldest);
            // What the forgotten one took on is unknown from now on.
            lives.iter_mut().filter(|((n, _), _)| *n == from).for_each(|(_, left)| left.partial = true);
        }
        true
    }

    /// What this sender, with all that told it, knows of an epoch that is over.
    pub fn pane(&self, now: u64, epoch: u64) -> Option<WindowSlice> {
        let own = self.own(now, epoch);
        let me = (self.me, self.incarnation);
        let told = self.registers.get(&epoch).into_iter().flatten();
        let others = told.filter(|(name, _)| **name != me).map(|((from, _), register)| (*from, register));
        let all: Vec<(usize, &Register)> = others.chain(own.iter().map(|own| (self.me, own))).collect();
        (epoch < now / EPOCH && !all.is_empty()).then(|| WindowSlice::of(&all, self.senders))
    }

    /// Takes in a pane that another sender added up; `false` if it is of no epoch that is over and remembered, or says
    /// what cannot be.
    pub fn hear_pane(&mut self, now: u64, from: usize, epoch: u64, pane: &WindowSlice) -> bool {
        self.forget(now);
        let known = from < self.senders && from != self.me && Self::remembers(now, epoch);
        if !known || !pane.is_possible(self.senders, self.most) {
            return false;
        }
        let panes = self.panes.entry(epoch).or_default();
        match panes.iter_mut().find(|(aggregator, _)| *aggregator == from) {
            Some((_, before)) => *before = before.clone().max(pane.clone()),
            None => panes.push((from, pane.clone())),
        }
        // Those of most senders first, in an order that does not depend on when they came.
        panes.sort_by(|a, b| (b.1.whole_senders(), &b.1, b.0).cmp(&(a.1.whole_senders(), &a.1, a.0)));
        panes.truncate(MOST_PANES);
        true
    }

    /// The epochs that a reading over the last `epochs` is of, as it is made now: 1 to [`MOST_READ`] of them.
    pub fn read_epochs(now: u64, epochs: u64) -> std::ops::Range<u64> {
        let end = (now / EPOCH + 1).saturating_sub(LAG);
        end.saturating_sub(epochs.clamp(1, MOST_READ))..end
    }

    /// What the tenant handed in to all senders within the last `epochs` of which word can have come. It changes as
    /// word comes: a few times a second, so it is read then and not for each message.
    pub fn read(&self, now: u64, tenant: u16, epochs: u64) -> Interval {
        let mut read = Interval { least: 0, most: 0, heard: self.senders, at: None };
        for epoch in Self::read_epochs(now, epochs) {
            let of = self.read_epoch(now, tenant, epoch);
            read.least = read.least.saturating_add(of.least);
            read.most = read.most.saturating_add(of.most);
            read.heard = read.heard.min(of.heard);
            read.at = read.at.max(of.at);
        }
        read
    }

    /// What the tenant handed in here within the same epochs, under this incarnation.
    pub fn read_own(&self, now: u64, tenant: u16, epochs: u64) -> u64 {
        let own = |epoch| {
            let registers = self.registers.get(&epoch)?.get(&(self.me, self.incarnation))?;
            registers.totals.get(&tenant).copied().map(u64::from)
        };
        Self::read_epochs(now, epochs).filter_map(own).sum()
    }

    /// The numbers of which word of a remembered epoch has come.
    pub fn heard(&self, now: u64) -> BTreeSet<usize> {
        let first = (now / EPOCH + 1).saturating_sub(KEPT);
        let told = self.panes.range(first..).flat_map(|(_, panes)| panes);
        let direct = self.registers.range(first..).flat_map(|(_, all)| all.keys());
        told.flat_map(|(_, pane)| pane.numbers()).chain(direct.map(|(from, _)| *from)).collect()
    }

    /// Each pane is an interval by itself; the truth lies in all of them.
    fn read_epoch(&self, now: u64, tenant: u16, epoch: u64) -> Interval {
        let direct = self.pane(now, epoch).unwrap_or_default();
        let told = self.panes.get(&epoch).into_iter().flatten().map(|(_, pane)| pane);
        let panes: Vec<&WindowSlice> = told.chain([&direct]).collect();
        let ends = panes.iter().map(|pane| pane.ends(tenant, self.senders, self.most));
        let least = ends.clone().map(|(least, _)| least).max().unwrap_or_default();
        let most = most_of(&panes, tenant, self.senders, self.most);
        let heard = panes.iter().map(|pane| pane.senders()).max().unwrap_or_default();
        let at = (heard > 1).then_some((epoch + 1) * EPOCH);
        if least <= most {
            return Interval { least, most, heard, at };
        }
        // Somebody lies: both may be so.
        let most = ends.map(|(_, most)| most).max().unwrap_or_default();
        Interval { least: direct.ends(tenant, self.senders, self.most).0, most, heard, at }
    }

    /// Whether word of the epoch is taken in: the next one is over already where the clock is ahead.
    fn remembers(now: u64, epoch: u64) -> bool {
        epoch <= now / EPOCH && epoch.saturating_add(KEPT) > now / EPOCH
    }

    fn forget(&mut self, now: u64) {
        // A clock that went back leaves some of what is to come.
        let kept = (now / EPOCH + 1).saturating_sub(KEPT)..now / EPOCH + KEPT;
        self.registers.retain(|epoch, _| kept.contains(epoch));
        self.panes.retain(|epoch, _| kept.contains(epoch));
    }
}

#[cfg(test)]
mod tests;
