//! What a sender must still know of outages if it begins anew: a few bytes for each partner that is, or was lately, in one.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A memory is worth so long, milliseconds, beyond the wait that it holds: by then the partner is warm, or known anew.
const KEPT: u64 = 60_000;
/// So many are kept; the oldest goes first. Their records fill less than a segment.
const MOST: usize = 1_000;

/// What was believed of a partner, or of one of its receivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// In an outage; a wait that was told lasts for so many milliseconds, 0 if none.
    Down {
        /// What was left of it.
        wait: u64,
    },
    /// Back from one, so many milliseconds ago; below 0 if a wait must be over first.
    WarmingUp {
        /// How long ago.
        ago: i64,
        /// The part of the ramp that is this sender's.
        part: f64,
    },
}

/// A partner's number and a receiver's id; empty where it is the whole partner.
pub type EndpointKey = (u16, Rc<str>);

#[derive(Clone, Copy, Debug)]
pub(crate) struct OutageRecord {
    /// The segment that holds its last record.
    pub segment: u64,
    /// When it was written, in milliseconds of the wall clock since 1970.
    pub at: u64,
    pub outage: OutageState,
}

impl OutageRecord {
    fn is_stale(&self, wall: u64) -> bool {
        let wait = if let OutageState::Down { wait } = self.outage { wait } else { 0 };
        wall.saturating_sub(self.at) > wait.saturating_add(KEPT)
    }
}

/// The memories of a journal, by place.
#[derive(Debug, Default)]
pub(crate) struct OutageRecords(BTreeMap<EndpointKey, OutageRecord>);

impl OutageRecords {
    /// Puts a memory in place of the one before; `None` is none. The place that had to go for it, if any.
    pub fn put(&mut self, place: EndpointKey, memory: Option<OutageRecord>) {
        match memory {
            None => drop(self.0.remove(&place)),
            Some(memory) => drop(self.0.insert(place, memory)),
        }
        if self.0.len() > MOST {
            let oldest = self.0.iter().min_by_key(|(_, memory)| memory.at).map(|(place, _)| place.clone());
            oldest.map(|place| self.0.remove(&place));
        }
    }

    /// What is still worth something at this time. A wall clock that was set back makes nothing last longer than it
    /// would have when it was written.
    pub fn at(&self, wall: u64) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        let fresh = self.0.iter().filter(move |(_, memory)| !memory.is_stale(wall));
        fresh.map(move |(place, memory)| {
            let since = wall.saturating_sub(memory.at);
            let outage = match memory.outage {
                OutageState::Down { wait } => OutageState::Down { wait: wait.saturating_sub(since) },
                OutageState::WarmingUp { ago, part } => {
                    OutageState::WarmingUp { ago: ago.saturating_add_unsigned(since), part }
                }
            };
            (place, outage)
        })
    }

    /// What an earlier process knew, where nothing newer is known.
    pub fn add_older(&mut self, older: Self) {
        for (place, memory) in older.0 {
            if !self.0.contains_key(&place) {
                self.put(place, Some(memory));
            }
        }
    }

    /// Those of a segment, as they were written; stale ones are forgotten.
    pub fn of_segment(
        &mut self,
        segment: u64,
        wall: u64,
    ) -> impl Iterator<Item = (&EndpointKey, &mut OutageRecord)> {
        self.0.retain(|_, memory| memory.segment != segment || !memory.is_stale(wall));
        self.0.iter_mut().filter(move |(_, memory)| memory.segment == segment)
    }
}

#[cfg(test)]
mod tests;
