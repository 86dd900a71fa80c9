//! What a sender is told at its start, checked.
use thiserror::Error;

use crate::halls::Halls;
use crate::key::Key;
use crate::lease::ROUND_MS;

/// Most senders: a word has 3 bits for each beside at most 101 bytes.
pub const MOST_SENDERS: u16 = 360;

/// The settings of one sender's placement. All but `me`, `own_hall` must be the same at all senders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This sender's number, below `senders`.
    pub me: u16,
    /// How many senders there are, 1 to [`MOST_SENDERS`], those that are down included.
    pub senders: u16,
    /// How many add up a round, 1 or 2: each costs a sender a note each way and round.
    pub adders: u8,
    /// All halls.
    pub halls: Halls,
    /// The hall in which this sender stands.
    pub own_hall: usize,
    /// For how long word of more than half allows to act, ms from the start of its round; 2 rounds and twice the clocks'
    /// error at least.
    pub lease_ms: u64,
    /// How far a clock may be from the true time, ms either way.
    pub clock_error_ms: u64,
    /// For how long a set that is not everywhere yet is handed on before this sender states that it holds it, ms: about
    /// what it takes to reach all (at 300 senders 5,000 for up to 17 tenants, 30,000 for 256). Statements stop whoever lacks the set.
    pub announce_ms: u64,
    /// The longest that a call may be out, ms.
    pub longest_call_ms: u64,
    /// Within how long after a rule narrowed a body that is outside must have left this sender, ms; the longest call at
    /// least.
    pub erase_within_ms: u64,
    /// The fleet's key.
    pub key: Key,
}

/// Why settings are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Out of range.
    #[error("{0} senders: 1 to {MOST_SENDERS} are right")]
    Senders(u16),
    /// Not one of them.
    #[error("own number {0} is not below the number of senders, {1}")]
    Me(u16, u16),
    /// Out of range.
    #[error("{0} adders: 1 or 2 are right")]
    Adders(u8),
    /// Not one of the halls.
    #[error("own hall {0} is not among the {1} halls")]
    OwnHall(usize, usize),
    /// Word could not come in time.
    #[error("a lease of {given} ms: at least {least} ms are right with this clock error")]
    Lease {
        /// What was given, ms.
        given: u64,
        /// The least, ms.
        least: u64,
    },
    /// A body has to stay while its call is out.
    #[error("bodies are to be gone within {given} ms, which is less than the longest call, {call} ms")]
    Erase {
        /// What was given, ms.
        given: u64,
        /// The longest call, ms.
        call: u64,
    },
}

impl Settings {
    /// Whether all fields are in their ranges.
    pub fn check(&self) -> Result<(), SettingsError> {
        let (given, call) = (self.erase_within_ms, self.longest_call_ms);
        let least = self.clock_error_ms.saturating_mul(2).saturating_add(2 * ROUND_MS);
        if self.senders == 0 || self.senders > MOST_SENDERS {
            return Err(SettingsError::Senders(self.senders));
        }
        if self.me >= self.senders {
            return Err(SettingsError::Me(self.me, self.senders));
        }
        if !(1..=2).contains(&self.adders) {
            return Err(SettingsError::Adders(self.adders));
        }
        if self.own_hall >= self.halls.names().len() {
            return Err(SettingsError::OwnHall(self.own_hall, self.halls.names().len()));
        }
        if self.lease_ms < least {
            return Err(SettingsError::Lease { given: self.lease_ms, least });
        }
        if given < call {
            return Err(SettingsError::Erase { given, call });
        }
        Ok(())
    }

    /// Who adds up a round: the same at every sender.
    pub(crate) fn adders(&self, round: u64) -> Vec<u16> {
        let all = usize::from(self.senders);
        let first = self.key.draw(round, 0, all);
        let mut drawn = vec![first as u16];
        if self.adders > 1 && all > 1 {
            drawn.push(((first + 1 + self.key.draw(round, 1, all - 1)) % all) as u16);
        }
        drawn
    }

    /// Whether so many are more than half.
    pub(crate) fn majority(&self, count: usize) -> bool {
        count * 2 > usize::from(self.senders)
    }
}
