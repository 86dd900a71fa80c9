//! The side of a sender that adds up while it is drawn to.
//!
//! Invariant: an answer goes only to who has told in this pane, so nobody is sent more than a note for each of its own and
//! two at the closes; and it is of the pane in which it was told, never of one that nobody has told of yet.
//!
//! Memory: that of [`Merged`] and three numbers for each sender; emptied with the pane, and whole after the term.

use std::collections::BTreeMap;

use crate::answer::Yours;
use crate::rounds::{CLOSES, ROUND_MS};
use crate::wire::Note;
use crate::{Answer, Digest, HotError, Letter, Merged};

/// Who has told in the pane that is open.
#[derive(Clone, Copy, Debug)]
struct Told {
    incarnation: u64,
    /// The round since which an answer is owed.
    owed: Option<u64>,
}

/// What others told, and whom an answer is owed.
#[derive(Clone, Debug)]
pub(crate) struct Adder {
    merged: Merged,
    told: BTreeMap<usize, Told>,
    /// The pane and the round in which all were answered last.
    closed: Option<(u64, u64)>,
}

impl Adder {
    /// Empty, for so many senders of which each can be handed so much in a pane.
    pub(crate) fn new(senders: usize, most: u64) -> Self {
        Self { merged: Merged::new(senders, most), told: BTreeMap::new(), closed: None }
    }

    /// Another pane is open; whether this sender is still drawn.
    pub(crate) fn turn(&mut self, pane: u64, drawn: bool) {
        self.told.clear();
        self.merged.turn(pane);
        if !drawn {
            self.merged.clear();
        }
    }

    /// Takes in what another sender tells.
    pub(crate) fn hear(&mut self, now: u64, pane: u64, from: usize, digest: Digest) -> Result<(), HotError> {
        let incarnation = digest.incarnation;
        self.merged.take_in(from, digest, pane)?;
        let told = self.told.entry(from).or_insert(Told { incarnation, owed: None });
        told.incarnation = told.incarnation.max(incarnation);
        told.owed.get_or_insert(now / ROUND_MS);
        Ok(())
    }

    /// Takes in what this sender was handed itself.
    pub(crate) fn take_in_own(&mut self, me: usize, own: Vec<Digest>, pane: u64) {
        for digest in own {
            // Refused is only what is more than its door should let in.
            let _ = self.merged.take_in(me, digest, pane);
        }
    }

    /// What answers those that told in the rounds before this one; at the close all that have told in this pane.
    pub(crate) fn answers(&mut self, now: u64, pane: u64, round: u64) -> Option<(Answer, Vec<Letter>)> {
        let close = CLOSES.into_iter().rfind(|close| *close <= round).map(|close| (pane, close))?;
        let closes = self.closed != Some(close) && self.merged.registers() > 0;
        let is_due = |told: &Told| closes || told.owed.is_some_and(|owed| owed < now / ROUND_MS);
        let due: Vec<usize> = self.told.iter().filter(|(_, told)| is_due(told)).map(|(n, _)| *n).collect();
        if due.is_empty() && !closes {
            return None;
        }
        self.closed = Some(close);
        let answer = Answer::of(pane, round as u8, &self.merged.sums(pane));
        let mut letters = Vec::new();
        for to in due {
            let Some(told) = self.told.get_mut(&to) else { continue };
            told.owed = None;
            let (held, total) = self.merged.held(to, told.incarnation, pane);
            let yours = Yours { incarnation: told.incarnation, held, total };
            letters.push((to, Note::Answer(Answer { yours, ..answer.clone() }).encode()));
        }
        Some((answer, letters))
    }
}
