//! What is counted in a scene.

use std::collections::VecDeque;

use rudderspindle_policy::interface::Millis;

use super::{OVERLOAD_DURATION, OVERLOAD_MULTIPLE, warmth};

/// What a sender knows of an outage as it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knows {
    /// It believes the partner down: a half-open probe.
    Down,
    /// It believes it cold: a call of the slow start.
    Cold,
    /// Calls of its came to nothing in the outage, too few to make one out.
    Failures,
    /// None did.
    Nothing,
}

/// The calls of the fall time that came closest to what a cold partner bears, or passed it by most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Push {
    /// Calls, by what their senders knew, in the order of [`Knows`].
    pub calls: [usize; 4],
    /// N: the multiple at which it falls times what it can do in that time.
    pub n: f64,
}

impl Push {
    /// All calls over N and what chance may add: twice its root, and two.
    pub fn ratio(&self) -> f64 {
        self.calls.iter().sum::<usize>() as f64 / self.bears()
    }

    /// The calls of senders that had been told, by a failure at the least, over the same.
    pub fn told_ratio(&self) -> f64 {
        self.calls[..3].iter().sum::<usize>() as f64 / self.bears()
    }

    /// What it bears.
    pub fn bears(&self) -> f64 {
        self.n + 2.0 * self.n.sqrt() + 2.0
    }
}

/// What was seen in a scene.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Largest number of calls in the fall time after the return, over what it could then do.
    pub worst: f64,
    /// When after the return that was, ms.
    pub worst_at: Millis,
    /// ...and how many calls.
    pub worst_calls: usize,
    /// The hardest push after the return, and the hardest of senders that had been told alone.
    pub push: [Push; 2],
    /// Calls in the first second after the return.
    pub first_second: usize,
    /// Calls during the outage.
    pub trials: usize,
    /// Messages delivered while it was warming up.
    pub served: usize,
    /// Messages handed in.
    pub asked: usize,
    /// ...and delivered.
    pub delivered: usize,
    /// ...within the time wanted.
    pub in_time: usize,
    /// Worth of what was handed in; and what the delivered ones were still worth, by class.
    pub offered: [f64; 2],
    /// See `offered`.
    pub earned: [f64; 2],
    /// Calls refused above the limit while it was warm.
    pub refused: usize,
    /// Time and route of each call after the return.
    pub came: Vec<(Millis, usize, u64)>,
    /// Bytes of the notes that arrived.
    pub note_bytes: usize,
    /// When each call of the scene started, ms.
    pub starts: Vec<Millis>,
}

impl Seen {
    /// The most calls that started within any span of so many ms.
    pub fn most_within(&self, span: Millis) -> usize {
        let before = |n: usize| self.starts.partition_point(|at| *at <= self.starts[n] - span);
        (0..self.starts.len()).map(|n| n + 1 - before(n)).max().unwrap_or(0)
    }

    /// The most calls that started within any second.
    pub fn most_in_second(&self) -> usize {
        self.most_within(1_000.0)
    }

    /// The most calls that started within a second as a partner counts them, from its clock's beat to the next.
    pub fn most_in_whole_second(&self) -> usize {
        let second = |a: &Millis, b: &Millis| (a / 1_000.0).floor() == (b / 1_000.0).floor();
        self.starts.chunk_by(second).map(<[Millis]>::len).max().unwrap_or(0)
    }

    /// Counts a call that comes so long after the return; `recent` holds the calls of the fall time.
    pub(super) fn push(&mut self, recent: &mut VecDeque<(Millis, Knows)>, call: (Millis, Knows), told: f64) {
        let since = call.0;
        recent.push_back(call);
        while recent.front().is_some_and(|&(at, _)| at + OVERLOAD_DURATION < since) {
            recent.pop_front();
        }
        let can = told * OVERLOAD_DURATION / 1_000.0
            * (warmth((since - OVERLOAD_DURATION).max(0.0)) + warmth(since))
            / 2.0;
        let mut push = Push { calls: [0; 4], n: OVERLOAD_MULTIPLE * can };
        recent.iter().for_each(|(_, knows)| push.calls[*knows as usize] += 1);
        let of: [fn(&Push) -> f64; 2] = [Push::ratio, Push::told_ratio];
        for (hardest, of) in self.push.iter_mut().zip(of) {
            if hardest.n == 0.0 || of(&push) > of(hardest) {
                *hardest = push;
            }
        }
        let ratio = recent.len() as f64 / can;
        self.first_second += usize::from(since < 1_000.0);
        if ratio > self.worst {
            (self.worst, self.worst_at, self.worst_calls) = (ratio, since, recent.len());
        }
    }
}
