//! Who of the tier is there, and as which process: by incarnations that only grow.
//!
//! Invariant: of each sender's number only the newest incarnation counts, from the moment it is heard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Who was not heard for so long counts as gone, ms: ten rounds of notes without a word.
pub const SILENT: u64 = 10_000;
/// After so long without a word a number's incarnation is forgotten, ms: whoever comes back with an empty folder and a
/// clock that went back is not shut out for good. Longer than the oldest note that is still let in.
pub const FORGOTTEN: u64 = 600_000;
/// So far ahead of the reader's clock an incarnation may be, ms: far more than clocks differ, little enough for a
/// number to be usable again after a minute when its clock was wrong at a start.
pub const AHEAD: u64 = 60_000;
/// What an older incarnation says so long after a newer one was heard was no late note, ms: both are alive.
pub const LATE: u64 = 3_000;

/// One life of a sender, from a start of its process to its end: larger than all before under its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The one to start with, from the one `kept` in the state folder and the wall clock, ms since 1970; it is kept
    /// before it is first told. With an empty folder the clock alone tells. A kept one that is larger than the
    /// clock (which went back) is gone one beyond.
    pub fn next(kept: Option<Self>, wall_ms: u64) -> Self {
        Self(kept.map_or(wall_ms, |kept| wall_ms.max(kept.0.saturating_add(1))))
    }
}

/// How what was heard stands to the newest incarnation of its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// A process that was replaced: it counts no more.
    Older,
    /// The one known.
    Same,
    /// One that was not heard before: what was known of the number's earlier ones is void.
    Newer,
}

/// What last happened under a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It was heard for the first time, or for the first time since it was forgotten.
    Started,
    /// The same process was silent, and goes on: stopped, or cut off.
    WentOn,
    /// Another process came under the number.
    Back,
    /// An older process was heard long after a newer one: two run at once.
    RanTwice,
}

/// An incarnation further ahead of the reader's clock than [`AHEAD`]: a liar, or a clock that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("incarnation {told} is over {AHEAD} ms ahead of the clock, which says {now}")]
pub struct TooFarAhead {
    /// What was told.
    pub told: u64,
    /// The reader's clock, ms since 1970.
    pub now: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Member {
    incarnation: Incarnation,
    /// When this incarnation was first heard, ms.
    since: u64,
    heard: u64,
    fate: Fate,
}

/// The newest incarnation heard of each number: at most one entry for each of the tier, forgotten after [`FORGOTTEN`].
///
/// ```
/// use rudderspindle_gossip::{Incarnation, Roster, Standing};
/// let mut roster = Roster::new(3);
/// assert_eq!(roster.admit(1, Incarnation(5_000), 6_000), Ok(Standing::Newer));
/// assert_eq!(roster.admit(1, Incarnation(4_000), 6_000), Ok(Standing::Older));
/// assert!(roster.is_alive(1, 6_500) && !roster.is_alive(1, 17_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    senders: usize,
    members: BTreeMap<usize, Member>,
}

impl Roster {
    /// Nobody was heard yet of a tier of so many.
    pub fn new(senders: usize) -> Self {
        Self { senders, members: BTreeMap::new() }
    }

    /// Takes in that a number was heard under an incarnation, and says whether what it said counts. A number beyond
    /// the tier is always `Older`: nothing it says counts.
    ///
    /// # Errors
    ///
    /// [`TooFarAhead`]; nothing has changed then.
    pub fn admit(
        &mut self,
        from: usize,
        incarnation: Incarnation,
        now: u64,
    ) -> Result<Standing, TooFarAhead> {
        if incarnation.0 > now.saturating_add(AHEAD) {
            return Err(TooFarAhead { told: incarnation.0, now });
        }
        self.members.retain(|_, member| member.heard.saturating_add(FORGOTTEN) > now);
        if from >= self.senders {
            return Ok(Standing::Older);
        }
        let Some(member) = self.members.get_mut(&from) else {
            let started = Member { incarnation, since: now, heard: now, fate: Fate::Started };
            self.members.insert(from, started);
            return Ok(Standing::Newer);
        };
        if incarnation < member.incarnation {
            if now > member.since.saturating_add(LATE) {
                member.fate = Fate::RanTwice;
            }
            return Ok(Standing::Older);
        }
        if incarnation > member.incarnation {
            *member = Member { incarnation, since: now, heard: now, fate: Fate::Back };
            return Ok(Standing::Newer);
        }
        if now > member.heard.saturating_add(SILENT) {
            member.fate = Fate::WentOn;
        }
        member.heard = member.heard.max(now);
        Ok(Standing::Same)
    }

    /// Whether the number was heard within [`SILENT`]; if not but [`Roster::fate`] knows it, it died, stopped or is cut off.
    pub fn is_alive(&self, number: usize, now: u64) -> bool {
        self.members.get(&number).is_some_and(|member| member.heard.saturating_add(SILENT) > now)
    }

    /// What last happened under the number; nothing if it was never heard, or is forgotten.
    pub fn fate(&self, number: usize) -> Option<Fate> {
        self.members.get(&number).map(|member| member.fate)
    }

    /// The newest incarnation heard, and when it was heard last, ms since 1970.
    pub fn newest(&self, number: usize) -> Option<(Incarnation, u64)> {
        self.members.get(&number).map(|member| (member.incarnation, member.heard))
    }
}

#[cfg(test)]
mod tests;
