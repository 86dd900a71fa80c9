//! Rounds: who stated what, and the word of it.
//!
//! Invariant: a count names no sender that did not state in its round, and for each that it names all that the sender
//! held; a statement that does not fit is left out whole.
use std::collections::{BTreeMap, BTreeSet};

use crate::held::{MOST_HELD, Tag};
use crate::lease::ROUND_MS;
use crate::note::{MOST_STANDS, Note, NoteError, Statement, Word};

/// How long after a round's start its adder tells, ms: a tick of the host (100), a note's delay (50), two clocks' errors
/// (100 each), within the round.
pub(crate) const WORD_AFTER_MS: u64 = 350;

/// Rounds that an adder gathers at once: the one before, this, and the next for a clock that is ahead.
const MOST_ROUNDS: usize = 3;

/// What a round's statements say of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stand {
    Unheard,
    /// Lives, without state.
    Blank,
    /// Has those of the count's tags whose bits 0 to 3 are set, and states that it holds those of bits 4 to 7.
    Full(u8),
}

/// An adder's word, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Count {
    pub round: u64,
    pub tags: [Tag; MOST_HELD],
    pub stands: Vec<Stand>,
}

impl Count {
    /// The tags that are named.
    pub fn named(&self) -> impl Iterator<Item = (usize, Tag)> {
        self.tags.into_iter().enumerate().filter(|(_, tag)| tag.revision > 0)
    }

    /// Who has the tag with number `tag`, and so can hand it on.
    pub fn having(&self, tag: usize) -> impl Iterator<Item = u16> {
        self.with(tag)
    }

    /// Who states that it holds the tag with number `tag`.
    pub fn holders(&self, tag: usize) -> impl Iterator<Item = u16> {
        self.with(tag + MOST_HELD)
    }

    fn with(&self, bit: usize) -> impl Iterator<Item = u16> {
        let set = move |stand: &Stand| matches!(stand, Stand::Full(mask) if mask >> bit & 1 == 1);
        self.stands.iter().enumerate().filter(move |(_, stand)| set(stand)).map(|(i, _)| i as u16)
    }

    /// Whether all that count and are not `me` have the tag, and with `me` are more than half.
    pub fn all_have(&self, tag: usize, me: u16) -> bool {
        let others = || self.stands.iter().enumerate().filter(|(i, _)| *i != usize::from(me));
        let full = others().filter(|(_, stand)| matches!(stand, Stand::Full(_))).count();
        let have = self.having(tag).filter(|&sender| sender != me).count();
        have == full && (full + 1) * 2 > self.stands.len()
    }

    /// The bytes of the note.
    pub fn encode(&self) -> Vec<u8> {
        let mut often: BTreeMap<u8, usize> = BTreeMap::new();
        for mask in self.stands.iter().filter_map(|stand| stand.mask()) {
            *often.entry(mask).or_default() += 1;
        }
        let mut kinds: Vec<u8> = often.keys().copied().collect();
        kinds.sort_by_key(|mask| std::cmp::Reverse(often[mask]));
        kinds.truncate(MOST_STANDS);
        let mut stands = [0; MOST_STANDS];
        stands[..kinds.len()].copy_from_slice(&kinds);
        let mut codes = vec![0; (self.stands.len() * 3).div_ceil(8)];
        for (i, stand) in self.stands.iter().enumerate() {
            let code = match stand {
                Stand::Unheard => 0,
                Stand::Blank => 1,
                // One that no longer fits counts as not heard.
                Stand::Full(mask) => kinds.iter().position(|kind| kind == mask).map_or(0, |k| k + 2),
            };
            for bit in 0..3 {
                codes[(3 * i + bit) / 8] |= ((code >> bit & 1) as u8) << ((3 * i + bit) % 8);
            }
        }
        let senders = self.stands.len() as u16;
        Note::Word(Word { round: self.round, senders, tags: self.tags, stands, codes: &codes }).encode()
    }

    /// A word of a fleet of so many senders, checked.
    pub fn read(word: &Word<'_>, senders: u16) -> Result<Count, NoteError> {
        if word.senders != senders || word.codes.len() != (usize::from(senders) * 3).div_ceil(8) {
            return Err(NoteError::Bounds("the number of senders"));
        }
        let known = word.tags.iter().enumerate().fold(0, |bits, (i, t)| bits | u8::from(t.revision > 0) << i);
        let sound = |mask: &u8| mask & 15 & !known == 0 && (mask >> MOST_HELD) & !mask == 0;
        if !word.stands.iter().all(sound) {
            return Err(NoteError::Bounds("a stand"));
        }
        let stands = (0..usize::from(senders)).map(|i| {
            let bit = |b: usize| usize::from(word.codes[(3 * i + b) / 8] >> ((3 * i + b) % 8) & 1);
            match bit(0) | bit(1) << 1 | bit(2) << 2 {
                0 => Stand::Unheard,
                1 => Stand::Blank,
                code => Stand::Full(word.stands[code - 2]),
            }
        });
        Ok(Count { round: word.round, tags: word.tags, stands: stands.collect() })
    }
}

impl Stand {
    fn mask(self) -> Option<u8> {
        if let Stand::Full(mask) = self { Some(mask) } else { None }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stated {
    incarnation: u64,
    full: bool,
    tags: [Tag; MOST_HELD],
    held: u8,
}

/// Statements of the rounds that this sender adds up. Emptied by [`Tallies::due`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Tallies {
    rounds: BTreeMap<u64, BTreeMap<u16, Stated>>,
    /// The last round told.
    told: u64,
}

impl Tallies {
    /// A statement of a round that is about now. Of two of one sender the younger incarnation's counts.
    pub fn hear(&mut self, from: u16, statement: &Statement) {
        if statement.round <= self.told {
            return;
        }
        let Statement { incarnation, full, tags, stated: held, .. } = *statement;
        let stated = Stated { incarnation, full, tags, held };
        let round = self.rounds.entry(statement.round).or_default();
        if round.get(&from).is_none_or(|before| before.incarnation <= incarnation) {
            round.insert(from, stated);
        }
        while self.rounds.len() > MOST_ROUNDS {
            self.rounds.pop_first();
        }
    }

    /// The counts that are to be told now, of `senders` senders.
    pub fn due(&mut self, now: u64, senders: u16) -> Vec<Count> {
        let mut due = Vec::new();
        while let Some(first) = self.rounds.first_entry() {
            let round = *first.key();
            if round.saturating_mul(ROUND_MS).saturating_add(WORD_AFTER_MS) > now {
                break;
            }
            due.push(count(round, &first.remove(), senders));
            self.told = round;
        }
        due
    }
}

/// The highest tags that were stated, and who holds which of them.
fn count(round: u64, stated: &BTreeMap<u16, Stated>, senders: u16) -> Count {
    let full = stated.values().filter(|stated| stated.full);
    let all: BTreeSet<Tag> = full.flat_map(|stated| stated.tags).filter(|tag| tag.revision > 0).collect();
    let mut tags = [Tag::default(); MOST_HELD];
    for (slot, tag) in tags.iter_mut().zip(all.iter().rev()) {
        *slot = *tag;
    }
    let stand = |sender: u16| match stated.get(&sender) {
        None => Stand::Unheard,
        Some(stated) if !stated.full => Stand::Blank,
        Some(stated) => {
            let mut mask = 0;
            for (at, had) in stated.tags.iter().enumerate().filter(|(_, tag)| tag.revision > 0) {
                match tags.iter().position(|tag| tag == had) {
                    Some(i) => mask |= 1 << i | (stated.held >> at & 1) << (i + MOST_HELD),
                    None => return Stand::Unheard,
                }
            }
            Stand::Full(mask)
        }
    };
    Count { round, tags, stands: (0..senders).map(stand).collect() }
}
