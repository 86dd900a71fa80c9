//! How one sender reads an answer.
//!
//! Invariant: what the whole fleet was handed of a key within the window lies in its [`Interval`], whoever was not heard:
//! for each sender and pane of which no whole count was heard, the most that a sender may be handed is added.
//!
//! What a silent sender told last bounds nothing: the storm may have come to it since. So its most is that which its door
//! lets in ([`Settings::most_per_second`]); a view is as sharp as that is near to what senders are handed.

use crate::answer::Heaviest;
use crate::{Answer, Key, PANES, Settings, Sum};

/// Between `least` and `most`, both included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// At least so many messages.
    pub least: u64,
    /// At most so many.
    pub most: u64,
}

impl Interval {
    /// Whether so many may be true.
    #[must_use]
    pub fn holds(&self, truth: u64) -> bool {
        (self.least..=self.most).contains(&truth)
    }
}

/// An answer as it is read by one sender.
#[derive(Clone, Debug)]
pub struct View {
    answer: Answer,
    senders: usize,
    /// What those not heard can have been handed.
    silent: u64,
}

impl View {
    /// Reads an answer in a fleet of so many senders (65,535 at most); `None` if it says that it has heard
    /// of more than there are, or more than their doors let in, or contradicts itself.
    #[must_use]
    pub fn read(answer: Answer, senders: usize, settings: &Settings) -> Option<Self> {
        let unheard = |heard: &u16| senders.checked_sub(usize::from(*heard)).map(|n| n as u64);
        let unheard = answer.heard.iter().map(unheard).sum::<Option<u64>>()?;
        let doors = (senders as u64 * PANES).saturating_mul(settings.most_per_pane());
        if answer.total > doors || !answer.is_sound() {
            return None;
        }
        let silent = unheard.saturating_mul(settings.most_per_pane());
        Some(Self { answer, senders, silent })
    }

    /// Numbers of the first pane of the window and of the one behind its last.
    #[must_use]
    pub fn panes(&self) -> std::ops::Range<u64> {
        self.answer.pane.saturating_sub(PANES)..self.answer.pane
    }

    /// Whole counts that were heard, by sender and pane, and how many there are.
    #[must_use]
    pub fn heard(&self) -> (usize, usize) {
        let heard = self.answer.heard.iter().map(|n| usize::from(*n)).sum();
        (heard, self.senders * PANES as usize)
    }

    /// What all senders were handed within the window.
    #[must_use]
    pub fn all(&self) -> Interval {
        Interval { least: self.answer.total, most: self.answer.total.saturating_add(self.silent) }
    }

    /// What they were handed of a stream.
    #[must_use]
    pub fn stream(&self, key: Key) -> Interval {
        self.interval(&self.answer.streams, key)
    }

    /// How often they were handed an idempotency key.
    #[must_use]
    pub fn key(&self, key: Key) -> Interval {
        self.interval(&self.answer.keys, key)
    }

    /// The heaviest streams, the heaviest first.
    #[must_use]
    pub fn streams(&self) -> &[Sum] {
        &self.answer.streams.sums
    }

    /// Idempotency keys that several senders were handed.
    #[must_use]
    pub fn keys(&self) -> &[Sum] {
        &self.answer.keys.sums
    }

    /// The answer that it was read from.
    #[must_use]
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    fn interval(&self, list: &Heaviest, key: Key) -> Interval {
        let sum = list.sums.iter().find(|sum| sum.key == key);
        let (least, most) = sum.map_or((0, list.left_out), |sum| (sum.least, sum.least + sum.spread));
        Interval { least, most: most.saturating_add(self.silent).min(self.all().most) }
    }
}
