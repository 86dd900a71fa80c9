//! Deals out what others offer in a round: what is given up, among those that ask, evenly.
//!
//! Invariant: a turn is dealt to one sender at the most, and only if its owner gave it up for this very round.

use std::collections::{BTreeMap, VecDeque};

use super::message::{
    MOST_GATES, MOST_TURNS, PermitGrant, PermitGrantEntry, PermitMessage, PermitOffer, PermitOfferEntry,
};
use super::rounds::term;
use super::schedule::Schedule;
use crate::limit_id::LimitId;

/// What came for one round: from each sender its first offer.
type Offers = BTreeMap<usize, PermitOffer>;

/// One sender as the dealer of some rounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitAllocator {
    /// Rounds up to this one are over: dealt, or some process of ours may have dealt them.
    closed: u64,
    /// This round's offers and, where clocks differ, the next one's.
    open: BTreeMap<u64, Offers>,
}

impl PermitAllocator {
    /// One that begins in such a round, which another process of ours may have dealt in.
    pub fn new(round: u64) -> Self {
        Self { closed: round, open: BTreeMap::new() }
    }

    /// Takes a sender's offer in; whether it counts: it is of this round or the next one, and the sender's first.
    pub fn take(&mut self, now: u64, from: usize, offer: PermitOffer) -> bool {
        let round = offer.round;
        if round <= self.closed || round < now || round > now + 1 || offer.entries.len() > MOST_GATES {
            return false;
        }
        let offers = self.open.entry(round).or_default();
        let first = !offers.contains_key(&from);
        if first {
            offers.insert(from, offer);
        }
        first
    }

    /// The round whose offers are to be dealt next.
    pub fn next(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    /// What each that offered in a round that is over is lent; `heard` gives a sender's bit, `schedule` a gate's turns.
    pub fn deal(
        &mut self,
        now: u64,
        heard: impl Fn(usize) -> u64,
        schedule: impl Fn(LimitId) -> Option<Schedule>,
    ) -> Vec<(usize, PermitGrant)> {
        let mut grants = Vec::new();
        while let Some(entry) = self.open.first_entry().filter(|entry| *entry.key() < now) {
            let (round, offers) = entry.remove_entry();
            // Whatever the clock does: no round is dealt twice.
            self.closed = self.closed.max(round);
            let bits = offers.keys().fold(0, |bits, &from| bits | heard(from));
            let mut dealt: BTreeMap<usize, Vec<PermitGrantEntry>> = BTreeMap::new();
            for (gate, of) in by_gate(&offers) {
                let Some(schedule) = schedule(gate) else { continue };
                for (to, entry) in deal_gate(round, gate, &schedule, &of) {
                    dealt.entry(to).or_default().push(entry);
                }
            }
            for (to, offer) in offers {
                let entries = dealt.remove(&to).unwrap_or_default();
                grants.push((
                    to,
                    fitting(PermitGrant { round, incarnation: offer.incarnation, heard: bits, entries }),
                ));
            }
        }
        grants
    }

    /// Senders whose offers it holds.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.open.values().map(BTreeMap::len).sum()
    }
}

fn by_gate(offers: &Offers) -> BTreeMap<LimitId, Vec<(usize, PermitOfferEntry)>> {
    let mut gates: BTreeMap<LimitId, Vec<(usize, PermitOfferEntry)>> = BTreeMap::new();
    for (&from, offer) in offers {
        for entry in &offer.entries {
            let of = gates.entry(LimitId(entry.gate)).or_default();
            // One that names a gate twice is heard once.
            if of.last().is_none_or(|last| last.0 != from) {
                of.push((from, *entry));
            }
        }
    }
    gates
}

/// Turn by turn to those that ask, in an order that changes with the round, until all have what they asked for.
fn deal_gate(
    round: u64,
    gate: LimitId,
    schedule: &Schedule,
    of: &[(usize, PermitOfferEntry)],
) -> Vec<(usize, PermitGrantEntry)> {
    let (mark, time) = (schedule.mark(), term(round));
    let sound = || of.iter().filter(|(_, entry)| entry.mark == mark);
    let mut pool: Vec<u64> = Vec::new();
    for (from, entry) in sound() {
        let own: Vec<u64> = schedule.of(*from, time.clone()).collect();
        pool.extend(own.iter().rev().take(usize::from(entry.lent)));
    }
    pool.sort_unstable();
    let mut asking: Vec<(usize, u8)> =
        sound().filter(|(_, e)| e.asked > 0).map(|(from, e)| (*from, e.asked.min(MOST_TURNS))).collect();
    asking.sort_by_key(|(from, _)| {
        crc32fast::hash(
            &[round.to_le_bytes(), (*from as u64).to_le_bytes(), u64::from(gate.0).to_le_bytes()].concat(),
        )
    });
    let mut asking = VecDeque::from(asking);
    let mut dealt: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for turn in pool {
        let Some((to, left)) = asking.pop_front() else { break };
        dealt.entry(to).or_default().push(turn);
        if left > 1 {
            asking.push_back((to, left - 1));
        }
    }
    let first = schedule.within(time).start;
    let entry = |turns: Vec<u64>| {
        let before = std::iter::once(first).chain(turns.iter().copied());
        let gaps = turns.iter().zip(before).map(|(turn, before)| (turn - before) as u16).collect();
        PermitGrantEntry { gate: gate.0, mark, gaps }
    };
    dealt.into_iter().map(|(to, turns)| (to, entry(turns))).collect()
}

/// Turns for which a note has no room are lost to this term.
fn fitting(mut grant: PermitGrant) -> PermitGrant {
    while PermitMessage::PermitGrant(grant.clone()).encode().is_err() {
        let longest = grant.entries.iter_mut().max_by_key(|entry| entry.gaps.len());
        match longest {
            Some(entry) if entry.gaps.len() > 1 => entry.gaps.truncate(entry.gaps.len() / 2),
            _ => drop(grant.entries.pop()),
        }
    }
    grant
}
