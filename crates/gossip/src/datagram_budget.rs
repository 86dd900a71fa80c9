//! Schedules datagrams of several kinds within a common budget.
//!
//! Invariant: at most [`MAX_DATAGRAMS_PER_S`] datagrams are sent in any second, plus one with the datagrams that they cause;
//! and each requested datagram is sent within [`DatagramBudget::max_wait`], however many others are requested.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::envelope::Kind;

/// Maximum rate of datagrams of all kinds in each direction, in datagrams a second on average over the fleet.
pub const MAX_DATAGRAMS_PER_S: u64 = 4;
/// Time for which one datagram occupies the budget, in milliseconds.
pub const DATAGRAM_INTERVAL: u64 = 1_000 / MAX_DATAGRAMS_PER_S;
/// Delay of a request for each rank of its priority, in milliseconds.
pub const PRIORITY_STEP: u64 = 500;

/// The priority, rate limit and cost of one kind of datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramClass {
    /// The kind.
    pub kind: Kind,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Minimum time between two datagrams of the kind, in milliseconds.
    pub min_interval: u64,
    /// Number of datagrams that one causes, itself included: 2 if it is answered.
    pub cost: u8,
}

impl DatagramClass {
    /// Time for which a datagram of this class occupies the budget, in milliseconds.
    fn occupied_time(&self) -> u64 {
        u64::from(self.cost.max(1)) * DATAGRAM_INTERVAL
    }

    /// How long a request of this class yields to more urgent ones, in milliseconds.
    fn yield_time(&self) -> u64 {
        u64::from(self.rank) * PRIORITY_STEP
    }
}

#[derive(Clone, Copy, Debug)]
struct KindSchedule {
    class: DatagramClass,
    /// When the pending request was made, or the minimum interval before it ended; `None` without a request.
    requested_at: Option<UnixMillis>,
    /// When the next datagram may be sent at the earliest.
    next_allowed_at: UnixMillis,
}

/// Decides which kind of datagram may be sent next. Holds one entry for each kind.
///
/// A request yields to others for `rank` times 500 ms, and afterwards only to earlier ones; [`DatagramBudget::max_wait`]
/// is the resulting bound.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{DatagramBudget, DatagramClass, Kind};
/// let mut budget = DatagramBudget::new(&[
///     DatagramClass { kind: Kind::Report, rank: 0, min_interval: 500, cost: 2 },
///     DatagramClass { kind: Kind::Hot, rank: 1, min_interval: 1_000, cost: 1 },
/// ]);
/// let start = UnixMillis(0);
/// budget.request(Kind::Hot, start);
/// budget.request(Kind::Report, start);
/// assert!(!budget.try_acquire(Kind::Hot, start) && budget.try_acquire(Kind::Report, start));
/// assert!(!budget.try_acquire(Kind::Hot, start + 499) && budget.try_acquire(Kind::Hot, start + 500));
/// ```
#[derive(Clone, Debug)]
pub struct DatagramBudget {
    schedules: BTreeMap<Kind, KindSchedule>,
    /// When the next datagram of any kind may be sent.
    free_at: UnixMillis,
}

impl DatagramBudget {
    /// A budget for the kinds of these classes; datagrams of other kinds are never sent.
    pub fn new(classes: &[DatagramClass]) -> Self {
        let schedule = |class: &DatagramClass| KindSchedule {
            class: *class,
            requested_at: None,
            next_allowed_at: UnixMillis::EPOCH,
        };
        let schedules = classes.iter().map(|class| (class.kind, schedule(class))).collect();
        Self { schedules, free_at: UnixMillis::EPOCH }
    }

    /// Requests a datagram of the kind; has no effect while a request for the kind is pending.
    pub fn request(&mut self, kind: Kind, now: UnixMillis) {
        if let Some(schedule) = self.schedules.get_mut(&kind) {
            schedule.requested_at.get_or_insert(now.max(schedule.next_allowed_at));
        }
    }

    /// The kind of which a datagram may be sent now.
    pub fn due(&self, now: UnixMillis) -> Option<Kind> {
        if now < self.free_at {
            return None;
        }
        let ready = self.schedules.iter().filter_map(|(kind, schedule)| {
            let requested_at = schedule.requested_at.filter(|requested_at| *requested_at <= now)?;
            Some((requested_at + schedule.class.yield_time(), schedule.class.rank, *kind))
        });
        ready.min().map(|(.., kind)| kind)
    }

    /// Whether a datagram of that kind may be sent now; if so, it is charged to the budget.
    pub fn try_acquire(&mut self, kind: Kind, now: UnixMillis) -> bool {
        if self.due(now) != Some(kind) {
            return false;
        }
        if let Some(schedule) = self.schedules.get_mut(&kind) {
            schedule.requested_at = None;
            schedule.next_allowed_at = now + schedule.class.min_interval;
            self.free_at = now + schedule.class.occupied_time();
        }
        true
    }

    /// Maximum time from a request (and the end of the kind's minimum interval) until its datagram may be sent, in
    /// milliseconds: its yield time, the longest datagram sent before it, and one datagram of each other kind. Holds if the
    /// budget is polled whenever it is free.
    pub fn max_wait(&self, kind: Kind) -> Option<u64> {
        let yield_time = self.schedules.get(&kind)?.class.yield_time();
        let occupied_time = |schedule: &KindSchedule| schedule.class.occupied_time();
        let begun = self.schedules.values().map(occupied_time).max()?;
        let others = self.schedules.iter().filter(|(other, _)| **other != kind);
        let others: u64 = others.map(|(_, schedule)| occupied_time(schedule)).sum();
        Some(yield_time + begun + others)
    }
}

#[cfg(test)]
mod tests;
