//! The side of a sender that tells.
//!
//! Invariant: a pane that has closed is told in each round until an answer says that the adder has it, with this life's
//! number and total; so what is lost costs a round, and what the adder forgot is told again.
//!
//! In a pane it goes on until it has heard the last answer that all are given ([`CLOSES`]). An adder that has answered nothing
//! for a second is joined by the next that was drawn, in the window after that from the first round on; it is told
//! itself in the first rounds only then, as chance may have kept its answers back.
//!
//! Memory: a number for each pane of the window and adder asked, and for those that are silent.

use std::collections::BTreeMap;

use crate::rounds::{CLOSES, ROUND_MS, TELLING_FROM_MS, TELLING_MS, adders};
use crate::{Answer, Digest, PANES, Panes};

/// Digests to one adder in one round, at most: a new one is told a whole window.
const MOST_TOLD: usize = 2;
/// After so many rounds of a pane without an answer the next adder is asked, too.
const PATIENCE: u64 = CLOSES[1] + 1;

/// What one sender has told, and who has it.
#[derive(Clone, Debug)]
pub(crate) struct Teller {
    me: usize,
    senders: usize,
    incarnation: u64,
    /// The round that was told last.
    told: Option<u64>,
    /// Who was asked in the pane that is open, and the round of its last answer.
    asked: BTreeMap<usize, Option<u64>>,
    /// Panes that an adder has said to hold, and with which total.
    held: BTreeMap<(usize, u64), u64>,
    /// Adders that did not answer in a whole pane, and before which pane another is asked as well.
    silent: BTreeMap<usize, u64>,
}

impl Teller {
    pub(crate) fn new(me: usize, senders: usize, incarnation: u64) -> Self {
        let (held, silent) = (BTreeMap::new(), BTreeMap::new());
        Self { me, senders, incarnation, told: None, asked: BTreeMap::new(), held, silent }
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
    fn to_ask(&self, pane: u64, round: u64) -> Vec<usize> {
        let drawn = adders(pane, self.senders);
        let silent = |n: &usize| self.silent.contains_key(n);
        let first = drawn.iter().position(|n| !silent(n)).unwrap_or(0);
        let answered = |n: &usize| *n == self.me || self.asked.get(n).is_some_and(Option::is_some);
        let more = usize::from(round >= PATIENCE && !drawn.get(first).is_some_and(answered));
        let heeded = |(at, n): &(usize, usize)| *at >= first || !silent(n) || round < CLOSES[0];
        drawn.into_iter().enumerate().take(first + 1 + more).filter(heeded).map(|(_, n)| n).collect()
    }

    /// What to tell whom in this round of a pane, and what this sender adds up itself.
    pub(crate) fn tell(
        &mut self,
        pane: u64,
        round: u64,
        panes: &Panes,
    ) -> (Vec<Digest>, Vec<(usize, Digest)>) {
        let (mut own, mut letters) = (Vec::new(), Vec::new());
        for to in self.to_ask(pane, round) {
            let window = (pane.saturating_sub(PANES)..pane).rev();
            let digests = window.filter_map(|at| panes.digest(self.incarnation, at));
            if to == self.me {
                own.extend(digests);
                continue;
            }
            let is_held = |digest: &Digest| self.held.get(&(to, digest.pane)) == Some(&digest.total);
            let (held, mut due): (Vec<_>, Vec<_>) = digests.partition(is_held);
            if due.len() > MOST_TOLD {
                // By turns, as nothing is known to be held before the first answer.
                let first = round as usize * MOST_TOLD % due.len();
                due.rotate_left(first);
            }
            // Nothing new, but an answer is wanted. That of another adder may be of few.
            let answered = self.asked.get(&to).copied().flatten();
            let served = answered.is_some_and(|of| round < CLOSES[1] || of >= CLOSES[1]);
            let again = usize::from(due.is_empty() && !served);
            let told = due.into_iter().take(MOST_TOLD).chain(held.into_iter().take(again));
            let before = letters.len();
            letters.extend(told.map(|digest| (to, digest)));
            if letters.len() > before {
                self.asked.entry(to).or_default();
            }
        }
        (own, letters)
    }

    /// Takes in what an adder has answered while this pane is open.
    pub(crate) fn hear(&mut self, from: usize, answer: &Answer, pane: u64, panes: &Panes) {
        self.silent.remove(&from);
        let (yours, of) = (answer.yours, answer.pane);
        if of == pane
            && let Some(answered) = self.asked.get_mut(&from)
        {
            *answered = (*answered).max(Some(u64::from(answer.round)));
        }
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

    /// The pane after `before` is `pane`.
    pub(crate) fn turn(&mut self, before: u64, pane: u64) {
        let asked = std::mem::take(&mut self.asked);
        let silent = asked.into_iter().filter(|(_, answered)| answered.is_none() && before + 1 == pane);
        self.silent.extend(silent.map(|(n, _)| (n, pane + PANES)));
        self.silent.retain(|_, until| *until > pane && *until <= pane + PANES);
        self.held.retain(|(_, at), _| *at + PANES >= pane && *at <= pane);
    }
}
