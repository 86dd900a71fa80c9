//! The side of a sender that tells.
//!
//! Invariant: a pane that has closed is told in each round until an answer says that the adder has it, with this life's
//! number and total; so what is lost costs a round, and what the adder forgot is told again.
//!
//! In a pane it goes on until it has heard the last answer that all are given ([`CLOSES`]). An adder that has answered nothing
//! for a second is joined by the next that was drawn, and not asked first in the window after that.
//!
//! Memory: a number for each pane of the window and adder asked, and three for those that are silent.

use std::collections::BTreeMap;

use crate::answer::Yours;
use crate::rounds::{CLOSES, ROUND_MS, TELLING_FROM_MS, TELLING_MS, adders};
use crate::{Digest, PANES, Panes};

/// Digests to one adder in one round, at most: a new one is told a whole window.
const MOST_TOLD: usize = 2;
/// After so many rounds of a pane without an answer the next adder is asked, too.
const PATIENCE: u64 = CLOSES[1] + 2;

/// What one sender has told, and who has it.
#[derive(Clone, Debug)]
pub(crate) struct Teller {
    me: usize,
    senders: usize,
    incarnation: u64,
    /// The round that was told last.
    told: Option<u64>,
    /// Whether anybody was asked in the pane that is open.
    asked: bool,
    /// Panes that an adder has said to hold, and with which total.
    held: BTreeMap<(usize, u64), u64>,
    /// Adders that did not answer in a whole pane, and before which pane they are not asked first.
    silent: BTreeMap<usize, u64>,
}

impl Teller {
    pub(crate) fn new(me: usize, senders: usize, incarnation: u64) -> Self {
        let (held, silent) = (BTreeMap::new(), BTreeMap::new());
        Self { me, senders, incarnation, told: None, asked: false, held, silent }
    }

    /// When this round is to be told, if it has not been and is not past.
    pub(crate) fn next(&self, now: u64) -> Option<u64> {
        let at = now / ROUND_MS * ROUND_MS + self.moment();
        (at > now && self.told != Some(now / ROUND_MS)).then_some(at)
    }

    /// Whether this round is to be told now; once.
    pub(crate) fn is_due(&mut self, now: u64) -> bool {
        let round = Some(now / ROUND_MS);
        now % ROUND_MS >= self.moment() && std::mem::replace(&mut self.told, round) != round
    }

    /// When this sender tells within a round, ms from its beginning.
    fn moment(&self) -> u64 {
        TELLING_FROM_MS + self.me as u64 * TELLING_MS / self.senders.max(1) as u64
    }

    /// Whom to tell in this round of a pane.
    fn asked(&self, pane: u64, round: u64, heard: bool) -> Vec<usize> {
        let drawn = adders(pane, self.senders);
        let first = drawn.iter().position(|n| !self.silent.contains_key(n)).unwrap_or(0);
        let count = if round < PATIENCE || heard { 1 } else { 2 };
        drawn.into_iter().skip(first).take(count).collect()
    }

    /// What to tell whom in this round of a pane, and what this sender adds up itself. `heard` is the round of the
    /// answer that was heard in this pane.
    pub(crate) fn tell(
        &mut self,
        pane: u64,
        round: u64,
        heard: Option<u64>,
        panes: &Panes,
    ) -> (Vec<Digest>, Vec<(usize, Digest)>) {
        let served = heard.is_some_and(|heard| round <= CLOSES[1] || heard >= CLOSES[1]);
        let (mut own, mut letters) = (Vec::new(), Vec::new());
        for to in self.asked(pane, round, heard.is_some()) {
            let window = (pane.saturating_sub(PANES)..pane).rev();
            let digests = window.filter_map(|at| panes.digest(self.incarnation, at));
            if to == self.me {
                own.extend(digests);
                continue;
            }
            let is_held = |digest: &Digest| self.held.get(&(to, digest.pane)) == Some(&digest.total);
            let (held, due): (Vec<_>, Vec<_>) = digests.partition(is_held);
            // Nothing new, but an answer is wanted.
            let again = usize::from(due.is_empty() && !served);
            let told = due.into_iter().take(MOST_TOLD).chain(held.into_iter().take(again));
            letters.extend(told.map(|digest| (to, digest)));
            self.asked = true;
        }
        (own, letters)
    }

    /// Takes in what an adder holds of this sender before the pane `of`.
    pub(crate) fn hear(&mut self, from: usize, yours: Yours, of: u64, panes: &Panes) {
        self.silent.remove(&from);
        let window = of.saturating_sub(PANES)..of;
        let is_held = |pane: &u64| yours.held & (1 << (of - 1 - pane)) != 0;
        let total: u64 = window.clone().filter(is_held).map(|pane| panes.total(pane)).sum();
        let agreed = yours.incarnation == self.incarnation && yours.total == total;
        for pane in window {
            if agreed && is_held(&pane) {
                self.held.insert((from, pane), panes.total(pane));
            } else {
                self.held.remove(&(from, pane));
            }
        }
    }

    /// The pane after `before` is `pane`; `heard` says whether any answer came in that one.
    pub(crate) fn turn(&mut self, before: u64, pane: u64, heard: bool) {
        if self.asked && !heard && before + 1 == pane {
            let first = self.asked(before, 0, false).first().copied().filter(|n| *n != self.me);
            self.silent.extend(first.map(|n| (n, pane + PANES)));
        }
        self.asked = false;
        self.silent.retain(|_, until| *until > pane && *until <= pane + PANES);
        self.held.retain(|(_, at), _| *at + PANES >= pane && *at <= pane);
    }
}
