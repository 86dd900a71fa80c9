//! Schedules datagrams of several kinds within a common rate limit.
//!
//! Invariant: in any second at most [`MAX_DATAGRAMS_PER_S`] datagrams plus one are sent, including the responses that they
//! cause. Each requested datagram may be sent within [`DatagramBudget::max_wait`], however many others are requested.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::envelope::Kind;

/// Maximum rate of datagrams of all kinds in each direction, in datagrams a second, averaged over the senders of the
/// fleet.
pub const MAX_DATAGRAMS_PER_S: u64 = 4;
/// Time for which one datagram occupies the budget, in milliseconds.
pub const DATAGRAM_INTERVAL: u64 = 1_000 / MAX_DATAGRAMS_PER_S;
/// Time for which a request yields to more urgent requests, in milliseconds for each step of its rank.
pub const PRIORITY_STEP: u64 = 500;

/// The priority, rate limit and cost of one kind of datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramClass {
    /// The kind of datagram; one class for each kind.
    pub kind: Kind,
    /// Rank in the order of urgency; 0 is the most urgent.
    pub rank: u8,
    /// Minimum time between two datagrams of the kind, in milliseconds.
    pub min_interval: u64,
    /// Number of datagrams that are sent because of one datagram of the kind, including that datagram: 2 if its receiver
    /// responds to it.
    pub cost: u8,
}

impl DatagramClass {
    /// Time for which a datagram of this class occupies the budget, in milliseconds.
    fn occupied_time(&self) -> u64 {
        u64::from(self.cost.max(1)) * DATAGRAM_INTERVAL
    }

    /// How long a request of this class yields to more urgent requests, in milliseconds.
    fn yield_time(&self) -> u64 {
        u64::from(self.rank) * PRIORITY_STEP
    }
}

/// The pending request of one kind, and when the kind's next datagram is allowed.
#[derive(Clone, Copy, Debug)]
struct KindSchedule {
    class: DatagramClass,
    /// When the pending request was made, or the end of the kind's minimum interval if that is later; `None` without a
    /// request.
    requested_at: Option<UnixMillis>,
    /// End of the minimum interval after the kind's last datagram.
    next_allowed_at: UnixMillis,
}

/// Decides which kind of datagram may be sent next. Holds one entry for each kind.
///
/// A request yields to more urgent requests for `rank` times 500 ms, and afterwards only to earlier requests;
/// [`DatagramBudget::max_wait`] is the resulting bound.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{DatagramBudget, DatagramClass, Kind};
/// let mut budget = DatagramBudget::new(&[
///     DatagramClass { kind: Kind::Report, rank: 0, min_interval: 500, cost: 2 },
///     DatagramClass { kind: Kind::HeavyHitters, rank: 1, min_interval: 1_000, cost: 1 },
/// ]);
/// let start = UnixMillis(0);
/// budget.request(Kind::HeavyHitters, start);
/// budget.request(Kind::Report, start);
/// assert!(!budget.try_acquire(Kind::HeavyHitters, start) && budget.try_acquire(Kind::Report, start));
/// assert!(
///     !budget.try_acquire(Kind::HeavyHitters, start + 499)
///         && budget.try_acquire(Kind::HeavyHitters, start + 500)
/// );
/// ```
#[derive(Clone, Debug)]
pub struct DatagramBudget {
    schedules: BTreeMap<Kind, KindSchedule>,
    /// When the next datagram of any kind may be sent.
    free_at: UnixMillis,
}

impl DatagramBudget {
    /// A budget for the kinds of these classes; datagrams of other kinds are never allowed.
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

    /// The kind of which a datagram may be sent now; `None` if no request is due or the budget is used up.
    pub fn due(&self, now: UnixMillis) -> Option<Kind> {
        if now < self.free_at {
            return None;
        }
        let ready_kinds = self.schedules.iter().filter_map(|(kind, schedule)| {
            let requested_at = schedule.requested_at.filter(|requested_at| *requested_at <= now)?;
            Some((requested_at + schedule.class.yield_time(), schedule.class.rank, *kind))
        });
        ready_kinds.min().map(|(.., kind)| kind)
    }

    /// Whether a datagram of that kind may be sent now. If so, its request ends and its cost is charged to the budget.
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
    /// milliseconds; `None` for a kind without a class.
    ///
    /// The bound is the sum of the kind's yield time, the occupied time of the longest datagram, which may have been
    /// sent just before, and of one datagram of each other kind. It holds if the budget is polled whenever it is free.
    pub fn max_wait(&self, kind: Kind) -> Option<u64> {
        let yield_time = self.schedules.get(&kind)?.class.yield_time();
        let occupied_time = |schedule: &KindSchedule| schedule.class.occupied_time();
        let longest_time = self.schedules.values().map(occupied_time).max()?;
        let other_schedules = self.schedules.iter().filter(|(other, _)| **other != kind);
        let other_times: u64 = other_schedules.map(|(_, schedule)| occupied_time(schedule)).sum();
        Some(yield_time + longest_time + other_times)
    }
}

#[cfg(test)]
mod tests;
