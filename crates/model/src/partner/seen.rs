//! What is counted in a scene.

use std::collections::VecDeque;

use rudderspindle_decide::interface::Millis;

use super::{TIP_AFTER, warmth};

/// What was seen in a scene.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Largest number of calls in the fall time after the return, over what it could then do.
    pub worst: f64,
    /// When after the return that was, ms.
    pub worst_at: Millis,
    /// ...and how many calls.
    pub worst_calls: usize,
    /// Calls in the first second after the return.
    pub first_second: usize,
    /// Calls during the outage.
    pub trials: usize,
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
    pub(super) fn push(&mut self, recent: &mut VecDeque<Millis>, since: Millis, told: f64) {
        recent.push_back(since);
        while recent.front().is_some_and(|&at| at + TIP_AFTER < since) {
            recent.pop_front();
        }
        let can = told * TIP_AFTER / 1_000.0 * (warmth((since - TIP_AFTER).max(0.0)) + warmth(since)) / 2.0;
        let ratio = recent.len() as f64 / can;
        self.first_second += usize::from(since < 1_000.0);
        if ratio > self.worst {
            (self.worst, self.worst_at, self.worst_calls) = (ratio, since, recent.len());
        }
    }
}
