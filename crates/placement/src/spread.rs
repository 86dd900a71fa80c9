//! Rule sets on their way from sender to sender, in parts.
//!
//! Invariant: a set is assembled only while word named it lately, only from parts of that very set, and is used only if
//! its content has the keyed hash under which it was named.
use std::collections::BTreeMap;

use crate::held::{Held, MOST_HELD, Tag};
use crate::key::{Key, Use};
use crate::lease::ROUND_MS;
use crate::note::{Ask, MOST_PARTS, Note, PART_BYTES, Part};
use crate::quorum::Count;
use crate::rules::Rules;

/// Parts that a sender hands on in a round, so that rules take at most 8 notes a second of its budget.
pub(crate) const MOST_ANSWERS: usize = 4;

/// The least time between two wishes of a sender, ms: a wish and its answer take two ticks of the host, 100 each.
const ASK_MS: u64 = 200;

/// Wishes that come to each sender that holds a set, in the mean, in [`ASK_MS`]; more would only be dropped there.
const ASKS_A_HOLDER: usize = 4;

/// Rounds after which what no word has named is wanted no more, and what no part came for is let go: 10 s.
const WANTED_ROUNDS: u64 = 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wanted {
    /// A sender that holds it, drawn anew by each word.
    from: u16,
    /// The last round in which word named it, or a part came.
    round: u64,
    /// How many hold it, and how many do not, as last told.
    holders: usize,
    others: usize,
    parts: Vec<Option<Vec<u8>>>,
}

/// What came of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// Not wanted, known, or more are to come.
    Nothing,
    Whole(Rules),
    /// All parts are there and are not what was named.
    Unusable,
}

/// Sets that are wanted (at most [`MOST_HELD`]) and asked for (at most one by each sender).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Spread {
    wanted: BTreeMap<Tag, Wanted>,
    asks: BTreeMap<u16, Ask>,
    /// When this sender may ask again, wall time in ms.
    ask_at: u64,
    /// The round in which so many parts were handed on.
    answered: (u64, usize),
}

impl Spread {
    /// Notes the sets of a count that are not here, each with a drawn sender to ask. True if one of them is stated as
    /// held, so that it may be in force.
    pub fn want(&mut self, count: &Count, held: &Held, me: u16, key: &Key) -> bool {
        let mut held_by_some = false;
        for (i, tag) in count.named().filter(|(_, tag)| held.lacks(*tag)) {
            held_by_some |= count.holders(i).next().is_some();
            let holders: Vec<u16> = count.having(i).filter(|&sender| sender != me).collect();
            let draw = key.draw(count.round, 2 + u64::from(me), holders.len());
            let Some(&from) = holders.get(draw) else { continue };
            let others = count.stands.len() - holders.len();
            let mut wanted =
                Wanted { from, round: count.round, holders: holders.len(), others, parts: Vec::new() };
            if let Some(before) = self.wanted.remove(&tag).filter(|before| !before.parts.is_empty()) {
                // Who has begun to hand the set on goes on with it, while it is heard.
                wanted.from = if holders.contains(&before.from) { before.from } else { from };
                wanted.parts = before.parts;
            }
            self.wanted.insert(tag, wanted);
        }
        // The lowest go first: a higher one in force ends the need for them.
        while self.wanted.len() > MOST_HELD {
            self.wanted.pop_first();
        }
        held_by_some
    }

    /// Lets go of what is held by now or was not named for long.
    pub fn tidy(&mut self, round: u64, held: &Held) {
        self.wanted.retain(|tag, w| held.lacks(*tag) && w.round.saturating_add(WANTED_ROUNDS) >= round);
    }

    /// The wish for one wanted set, each in its turn, and whom to tell. While few hold a set, few begin to ask: drawn ones.
    pub fn ask(&mut self, now: u64, me: u16, key: &Key) -> Option<(u16, Vec<u8>)> {
        if self.wanted.is_empty() || now < self.ask_at {
            return None;
        }
        self.ask_at = now.saturating_add(ASK_MS);
        let slot = now / ASK_MS;
        let (&tag, wanted) = self.wanted.iter().nth((slot % self.wanted.len() as u64) as usize)?;
        if wanted.parts.is_empty()
            && key.draw(slot, 2 + u64::from(me), wanted.others) >= wanted.holders * ASKS_A_HOLDER
        {
            return None;
        }
        let missing = wanted.parts.iter().enumerate().filter(|(_, part)| part.is_none());
        let parts = missing.fold(0, |parts, (i, _)| parts | 1 << i);
        let parts = if wanted.parts.is_empty() { u32::MAX } else { parts };
        Some((wanted.from, Note::Ask(Ask { tag, parts }).encode()))
    }

    /// A sender's wish, in place of its last.
    pub fn asked_by(&mut self, from: u16, ask: Ask) {
        self.asks.insert(from, ask);
    }

    /// The parts that are handed on now: to those who lack least first, so that some soon have the whole and hand it on
    /// themselves, and of equals from a drawn one on. Who is not reached asks again.
    pub fn answers(&mut self, round: u64, held: &Held, key: &Key, senders: u16) -> Vec<(u16, Vec<u8>)> {
        if self.answered.0 != round {
            self.answered = (round, 0);
        }
        let first = key.draw(round, 1, usize::from(senders)) as u16;
        let asks = std::mem::take(&mut self.asks);
        let mut answers = Vec::new();
        let mut asks: Vec<(&u16, &Ask)> = asks.range(first..).chain(asks.range(..first)).collect();
        asks.sort_by_key(|(_, ask)| ask.parts.count_ones());
        for (&to, ask) in asks {
            let Some(entry) = held.sets.get(&ask.tag) else { continue };
            let bytes = entry.rules.encode();
            let of = bytes.len().div_ceil(PART_BYTES);
            for (i, bytes) in bytes.chunks(PART_BYTES).enumerate().filter(|(i, _)| ask.parts >> i & 1 == 1) {
                if self.answered.1 == MOST_ANSWERS {
                    return answers;
                }
                self.answered.1 += 1;
                let part = Part { tag: ask.tag, index: i as u8, of: of as u8, bytes };
                answers.push((to, Note::Part(part).encode()));
            }
        }
        answers
    }

    /// A part, already known to be within its bounds.
    pub fn part(&mut self, now: u64, part: &Part<'_>, key: &Key, halls: u64) -> Came {
        let Some(wanted) = self.wanted.get_mut(&part.tag) else { return Came::Nothing };
        let of = usize::from(part.of).min(MOST_PARTS);
        if wanted.parts.len() != of {
            wanted.parts = vec![None; of];
        }
        let Some(place) = wanted.parts.get_mut(usize::from(part.index)) else { return Came::Nothing };
        *place = Some(part.bytes.to_vec());
        wanted.round = wanted.round.max(now / ROUND_MS);
        let Some(parts) = wanted.parts.iter().map(Option::as_deref).collect::<Option<Vec<&[u8]>>>() else {
            return Came::Nothing;
        };
        let bytes = parts.concat();
        wanted.parts.clear();
        match postcard::take_from_bytes::<Rules>(&bytes) {
            _ if key.hash(Use::Content, &bytes) != part.tag.hash => Came::Unusable,
            Ok((rules, [])) if rules.revision == part.tag.revision && rules.halls == halls => {
                Came::Whole(rules)
            }
            _ => Came::Unusable,
        }
    }
}
