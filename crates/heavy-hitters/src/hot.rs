//! Which streams are hot.
//!
//! Invariant: a stream becomes hot only when its least is over the part of the most of all, and ceases to be only when its
//! most has been under half of that part of the least of all for a window, seen without a gap. Silence lowers a least,
//! raises a most and leaves gaps: it brings about neither.
//!
//! At most `1 / part` streams are hot: leasts of one window add up to no more than the most of all, so where one more
//! has come over the part, one of those before is under it, and gives way.

use std::collections::BTreeMap;

use crate::{Key, PANES, View};

/// A stream ceases to be hot under this part of what makes it hot. Between the two is what views differ by.
const ENDS_UNDER: f64 = 0.5;

/// A hot stream.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    /// The first and the last view in a row that had it under the end, by their panes.
    under: Option<(u64, u64)>,
}

/// The hot streams, judged view by view.
#[derive(Clone, Debug)]
pub struct Judge {
    part: f64,
    hot: BTreeMap<Key, Mark>,
}

impl Judge {
    /// None yet; hot is what is over this part of all.
    #[must_use]
    pub fn new(part: f64) -> Self {
        Self { part, hot: BTreeMap::new() }
    }

    /// Takes in what a view shows to be hot.
    pub fn rise(&mut self, view: &View) {
        let over = self.part * view.all().most as f64;
        for sum in view.streams().iter().filter(|sum| sum.least as f64 > over) {
            if !self.hot.contains_key(&sum.key) {
                self.make_room(view);
                self.hot.insert(sum.key, Mark::default());
            }
        }
    }

    /// Takes in what the last view of a pane, the sharpest one, shows to be hot no more.
    pub fn settle(&mut self, view: &View) {
        let pane = view.panes().end;
        let under = ENDS_UNDER * self.part * view.all().least as f64;
        self.hot.retain(|key, mark| {
            let most = view.stream(*key).most;
            if most as f64 >= under && most > 0 {
                mark.under = None;
                return true;
            }
            // Two windows that do not touch leave out what was between them.
            let first =
                mark.under.filter(|(_, last)| pane.abs_diff(*last) <= PANES).map_or(pane, |(first, _)| first);
            mark.under = Some((first, pane));
            pane < first + PANES
        });
    }

    /// Whether a stream is hot.
    #[must_use]
    pub fn is_hot(&self, key: Key) -> bool {
        self.hot.contains_key(&key)
    }

    /// The hot streams, in the order of their keys.
    pub fn hot(&self) -> impl Iterator<Item = Key> {
        self.hot.keys().copied()
    }

    fn make_room(&mut self, view: &View) {
        let most = (1.0 / self.part) as usize;
        if self.hot.len() >= most
            && let Some(least) = self.hot.keys().copied().min_by_key(|key| (view.stream(*key).least, *key))
        {
            self.hot.remove(&least);
        }
    }
}
