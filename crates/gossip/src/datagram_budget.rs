//! The room of further kinds of note in a sender's budget.
//!
//! Invariant: in no second are more than [`MOST`] notes begun, with those that they bring about one more at most, and whatever is
//! wanted goes out within its bound, however much else is wanted.

use std::collections::BTreeMap;

use crate::envelope::Kind;

/// Notes of all further kinds a second, each way, on average over a tier that does alike: half of the sender's eight.
pub const MOST: u64 = 4;
/// The room of one note, ms.
pub const GAP: u64 = 1_000 / MOST;
/// For so long a kind gives way to one that is a rank more urgent, ms.
pub const AGING: u64 = 500;

/// How much a kind may take of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// 0 is the most urgent.
    pub rank: u8,
    /// From one note of it to the next at least, ms.
    pub every: u64,
    /// Notes that one brings about, itself among them: 2 where it is answered, since among senders that do alike each
    /// answers as many as it asks.
    pub cost: u8,
}

#[derive(Clone, Copy, Debug)]
struct KindSchedule {
    class: Class,
    /// Since when one is wanted, ms.
    wanted: Option<u64>,
    /// From when the next may go.
    next: u64,
}

/// Says which kind of note may go out next. As many entries as kinds.
///
/// What is wanted waits `rank * AGING` while others may come before it, and from then on only for those that wanted to
/// before: see [`DatagramBudget::longest_wait`].
///
/// ```
/// use rudderspindle_gossip::{Class, Kind, DatagramBudget};
/// let mut post = DatagramBudget::new(&[
///     (Kind::Report, Class { rank: 0, every: 500, cost: 2 }),
///     (Kind::Hot, Class { rank: 1, every: 1_000, cost: 1 }),
/// ]);
/// post.want(Kind::Hot, 0);
/// post.want(Kind::Report, 0);
/// assert!(!post.take(Kind::Hot, 0) && post.take(Kind::Report, 0));
/// assert!(!post.take(Kind::Hot, 499) && post.take(Kind::Hot, 500));
/// ```
#[derive(Clone, Debug)]
pub struct DatagramBudget {
    turns: BTreeMap<Kind, KindSchedule>,
    /// From when there is room again, ms.
    free: u64,
}

impl DatagramBudget {
    /// Room for these kinds; the others have none.
    pub fn new(classes: &[(Kind, Class)]) -> Self {
        let turn = |&(kind, class)| (kind, KindSchedule { class, wanted: None, next: 0 });
        Self { turns: classes.iter().map(turn).collect(), free: 0 }
    }

    /// A note of that kind is wanted from now on; a second word for the same note changes nothing.
    pub fn want(&mut self, kind: Kind, now: u64) {
        if let Some(turn) = self.turns.get_mut(&kind) {
            turn.wanted.get_or_insert(now.max(turn.next));
        }
    }

    /// The kind that may go now.
    pub fn due(&self, now: u64) -> Option<Kind> {
        let ready = self.turns.iter().filter_map(|(kind, turn)| {
            let since = turn.wanted.filter(|since| *since <= now)?;
            Some((since + u64::from(turn.class.rank) * AGING, turn.class.rank, *kind))
        });
        ready.min().filter(|_| now >= self.free).map(|(.., kind)| kind)
    }

    /// Whether a note of that kind goes now; if so, its room is used.
    pub fn take(&mut self, kind: Kind, now: u64) -> bool {
        if self.due(now) != Some(kind) {
            return false;
        }
        if let Some(turn) = self.turns.get_mut(&kind) {
            turn.wanted = None;
            turn.next = now + turn.class.every;
            self.free = now + u64::from(turn.class.cost.max(1)) * GAP;
        }
        true
    }

    /// Within this time of its being wanted (and its pause being over) a note of the kind goes out, ms, if the post is
    /// asked whenever there is room: the time it gives way, what was begun, and each other kind once.
    pub fn longest_wait(&self, kind: Kind) -> Option<u64> {
        let rank = u64::from(self.turns.get(&kind)?.class.rank);
        let room = |turn: &KindSchedule| u64::from(turn.class.cost.max(1)) * GAP;
        let begun = self.turns.values().map(room).max()?;
        let others = self.turns.iter().filter(|(other, _)| **other != kind).map(|(_, turn)| room(turn));
        Some(rank * AGING + begun + others.sum::<u64>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn no_second_has_more_than_its_notes_and_nothing_is_starved(
            classes in proptest::collection::vec((0_u8..4, 0_u64..1_500, 1_u8..3), 4),
            wants in proptest::collection::vec((0_usize..4, 0_u64..20_000), 1..200),
            greedy in 0_usize..4,
        ) {
            let class = |&(rank, every, cost)| Class { rank, every, cost };
            let listed: Vec<_> = Kind::ALL.into_iter().zip(classes.iter().map(class)).collect();
            let mut post = DatagramBudget::new(&listed);
            let (mut sent, mut waiting) = (Vec::new(), BTreeMap::new());
            for now in (0..30_000).step_by(10) {
                let asked = wants.iter().filter(|(_, at)| at / 10 * 10 == now).map(|(n, _)| *n);
                // One that always wants more.
                for n in asked.chain([greedy]) {
                    post.want(Kind::ALL[n], now);
                    waiting.entry(Kind::ALL[n]).or_insert(now.max(post.turns[&Kind::ALL[n]].next));
                }
                while let Some(kind) = post.due(now) {
                    prop_assert!(post.take(kind, now));
                    sent.push((now, u64::from(post.turns[&kind].class.cost)));
                    let waited = now - waiting.remove(&kind).expect("it was wanted");
                    let bound = post.longest_wait(kind).expect("a kind of its own");
                    prop_assert!(waited <= bound + 10, "{kind:?} waited {waited}, {bound} at most");
                }
            }
            for (n, (at, _)) in sent.iter().enumerate() {
                // The last one's answer may fall into the next second.
                let within = sent[n..].iter().take_while(|(then, _)| then - at < 1_000);
                let cost: u64 = within.map(|(_, cost)| cost).sum();
                prop_assert!(cost <= MOST + 1, "{cost} notes from {at} on");
            }
            prop_assert!(waiting.len() <= 4);
        }
    }
}
