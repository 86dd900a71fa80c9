//! The rule sets that a sender holds at once, and what all of them allow.
//!
//! Invariant: a set is let go only when a higher revision is known to be in force, so what is open only shrinks until
//! then.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::halls::HallMask;
use crate::key::TenantId;
use crate::rules::Rules;

/// Most rule sets that a sender holds: one in force and three that are on their way, or differ under one revision.
pub const MOST_HELD: usize = 4;

/// Which rule set: its revision and the keyed hash of what it says. Revision 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag {
    /// The operator's revision, from 1.
    pub revision: u64,
    /// Of the whole content, the list of halls included.
    pub hash: u64,
}

/// What became of a set that a sender was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    New { conflict: bool },
    Known,
    Superseded,
    NoRoom,
}

/// A set and how far this sender has come with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub rules: Rules,
    /// Since when it is only handed on, wall time in ms, and no majority counts it; none once it is stated as held.
    pub announced: Option<u64>,
}

/// Rule sets held, by tag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Held {
    pub sets: BTreeMap<Tag, Entry>,
    /// The highest revision known to be in force; 0 for none.
    pub in_force: u64,
}

impl Held {
    pub fn highest(&self) -> u64 {
        self.sets.keys().next_back().map_or(0, |tag| tag.revision)
    }

    /// Takes a set in. What it narrows holds from now on.
    pub fn take(&mut self, tag: Tag, rules: Rules, now: u64) -> Taken {
        if self.sets.contains_key(&tag) {
            return Taken::Known;
        }
        if tag.revision < self.in_force {
            return Taken::Superseded;
        }
        if self.sets.len() >= MOST_HELD {
            return Taken::NoRoom;
        }
        let conflict = self.sets.keys().any(|other| other.revision == tag.revision);
        self.sets.insert(tag, Entry { rules, announced: Some(now) });
        Taken::New { conflict }
    }

    /// More than half hold `tag`: what is older holds no more. False if that was known, or the set is not held.
    pub fn put_in_force(&mut self, tag: Tag) -> bool {
        if tag.revision <= self.in_force || !self.sets.contains_key(&tag) {
            return false;
        }
        self.in_force = tag.revision;
        self.sets.retain(|other, _| other.revision >= tag.revision);
        true
    }

    /// The halls that all sets allow a tenant; none if no set rules it.
    pub fn open(&self, tenant: TenantId) -> Option<HallMask> {
        self.sets.values().filter_map(|entry| entry.rules.halls_of(tenant)).reduce(HallMask::and)
    }

    /// From now on a set is stated as held. False if it is already, or is not here.
    pub fn state(&mut self, tag: Tag) -> bool {
        self.sets.get_mut(&tag).is_some_and(|entry| entry.announced.take().is_some())
    }

    /// Which of `tags` are stated, as bits.
    pub fn stated(&self) -> u8 {
        self.sets
            .values()
            .enumerate()
            .fold(0, |bits, (i, entry)| bits | u8::from(entry.announced.is_none()) << i)
    }

    /// Whether a set has to be fetched before word that names it can renew anything.
    pub fn lacks(&self, tag: Tag) -> bool {
        tag.revision >= self.in_force.max(1) && !self.sets.contains_key(&tag)
    }

    pub fn tags(&self) -> [Tag; MOST_HELD] {
        let mut tags = [Tag::default(); MOST_HELD];
        for (slot, tag) in tags.iter_mut().zip(self.sets.keys()) {
            *slot = *tag;
        }
        tags
    }
}
