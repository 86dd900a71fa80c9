//! What is counted in a scene.

use std::collections::VecDeque;

use rudderspindle_policy::interface::Millis;

use super::settings::{CLASSES, delivered_value, full_value, is_in_time};
use super::{OVERLOAD_DURATION, OVERLOAD_MULTIPLE, RECOVERY_DURATION, Scene, recovered_share};

/// What a sender knows of an outage as it makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knows {
    /// It takes the receiver to be down: the call is a half-open probe.
    Down,
    /// It takes the receiver to be warming up: the call belongs to the slow start.
    Cold,
    /// Its calls failed in the outage, but too few for it to detect one.
    Failures,
    /// None of its calls failed.
    Nothing,
}

/// The calls within the overload duration of 3 s in which a recovering receiver got most, for what it bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Push {
    /// Calls by their senders' knowledge, in the order of [`Knows`].
    pub calls: [usize; 4],
    /// The number of calls that overloads the receiver in that time, on average.
    pub n: f64,
}

impl Push {
    /// All calls over [`bears`](Self::bears).
    pub fn ratio(&self) -> f64 {
        self.calls.iter().sum::<usize>() as f64 / self.bears()
    }

    /// Calls of senders that saw a failure at least, over [`bears`](Self::bears).
    pub fn told_ratio(&self) -> f64 {
        self.calls[..3].iter().sum::<usize>() as f64 / self.bears()
    }

    /// The number of calls that is tolerable: `n`, and what random arrivals add to it, 2 √n + 2.
    pub fn bears(&self) -> f64 {
        self.n + 2.0 * self.n.sqrt() + 2.0
    }
}

/// A call to a recovering receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryCall {
    /// When it starts, ms after the receiver's return.
    pub since_return: Millis,
    /// Index of its sender.
    pub sender: usize,
    /// Its route.
    pub route: u64,
    /// What its sender knows.
    pub knowledge: Knows,
}

/// The figures of a scene.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Calls within the overload duration of 3 s after the return over what the receiver could take then: the maximum.
    pub worst: f64,
    /// When that was, ms after the return.
    pub worst_at: Millis,
    /// How many calls these were.
    pub worst_calls: usize,
    /// The worst overload after the return: by all calls, and by calls of senders that had seen a failure.
    pub push: [Push; 2],
    /// Calls in the first second after the return.
    pub first_second: usize,
    /// Calls to routes in the outage.
    pub trials: usize,
    /// Messages delivered during the recovery ramp.
    pub served: usize,
    /// Messages submitted.
    pub asked: usize,
    /// Messages delivered.
    pub delivered: usize,
    /// Messages delivered within their latency objective.
    pub in_time: usize,
    /// Value of the submitted messages, by class.
    pub offered: [f64; CLASSES],
    /// Value of the delivered messages at their delivery, by class.
    pub earned: [f64; CLASSES],
    /// Calls rejected above the limit.
    pub refused: usize,
    /// Calls during the recovery ramp.
    pub came: Vec<RecoveryCall>,
    /// Bytes of the gossip that was delivered.
    pub note_bytes: usize,
    /// When each call started, ms.
    pub starts: Vec<Millis>,
}

impl Seen {
    /// The maximum number of calls that started within any `span` ms.
    pub fn most_within(&self, span: Millis) -> usize {
        let before = |n: usize| self.starts.partition_point(|at| *at <= self.starts[n] - span);
        (0..self.starts.len()).map(|n| n + 1 - before(n)).max().unwrap_or(0)
    }

    /// The maximum number of calls that started within any second.
    pub fn most_in_second(&self) -> usize {
        self.most_within(1_000.0)
    }

    /// The maximum number of calls that started between two whole seconds, as the receiver counts them.
    pub fn most_in_whole_second(&self) -> usize {
        let same_second = |a: &Millis, b: &Millis| (a / 1_000.0).floor() == (b / 1_000.0).floor();
        self.starts.chunk_by(same_second).map(<[Millis]>::len).max().unwrap_or(0)
    }

    /// Counts a submitted message.
    pub(super) fn count_submission(&mut self, class: usize) {
        self.asked += 1;
        self.offered[class] += full_value(class);
    }

    /// Counts a message delivered at `now`.
    pub(super) fn count_delivery(&mut self, scene: &Scene, class: usize, now: Millis, submitted_at: Millis) {
        let latency = now - submitted_at;
        self.delivered += 1;
        self.served += usize::from((scene.until..scene.until + RECOVERY_DURATION).contains(&now));
        self.in_time += usize::from(is_in_time(class, latency));
        self.earned[class] += delivered_value(class, latency);
    }

    /// Counts a call during the recovery ramp; `recent` holds those within the overload duration, and `rate` is the
    /// receiver's limit, calls a second.
    pub(super) fn count_recovery_call(
        &mut self,
        recent: &mut VecDeque<RecoveryCall>,
        call: RecoveryCall,
        rate: f64,
    ) {
        let since_return = call.since_return;
        self.came.push(call);
        recent.push_back(call);
        while recent.front().is_some_and(|first| first.since_return + OVERLOAD_DURATION < since_return) {
            recent.pop_front();
        }
        let capacity = recovery_capacity(rate, since_return);
        self.count_overload(recent, capacity);
        self.first_second += usize::from(since_return < 1_000.0);
        let ratio = recent.len() as f64 / capacity;
        if ratio > self.worst {
            self.worst = ratio;
            self.worst_at = since_return;
            self.worst_calls = recent.len();
        }
    }

    fn count_overload(&mut self, recent: &VecDeque<RecoveryCall>, capacity: f64) {
        let mut push = Push { calls: [0; 4], n: OVERLOAD_MULTIPLE * capacity };
        for call in recent {
            push.calls[call.knowledge as usize] += 1;
        }
        let ratios: [fn(&Push) -> f64; 2] = [Push::ratio, Push::told_ratio];
        for (worst, ratio) in self.push.iter_mut().zip(ratios) {
            if worst.n == 0.0 || ratio(&push) > ratio(worst) {
                *worst = push;
            }
        }
    }
}

/// The number of calls that a recovering receiver can take in the overload duration before this moment.
fn recovery_capacity(rate: f64, since_return: Millis) -> f64 {
    let at_start = recovered_share((since_return - OVERLOAD_DURATION).max(0.0));
    rate * OVERLOAD_DURATION / 1_000.0 * (at_start + recovered_share(since_return)) / 2.0
}
