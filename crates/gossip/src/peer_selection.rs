//! Deterministic selection of senders: every sender computes the same order and the same sample from the round number
//! and the number of senders alone.

/// CRC-32 of words in little-endian order: a cheap hash that is the same in all versions and on all platforms.
pub(crate) fn hash_words<const WORDS: usize>(words: [u64; WORDS]) -> u32 {
    crc32fast::hash(&words.map(u64::to_le_bytes).concat())
}

/// A sender with its sort key in the order of a round (rendezvous hashing); ties are broken by the sender's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RankedSender {
    hash: u32,
    pub sender: usize,
}

impl RankedSender {
    /// The sort key of a sender in the order of `round`.
    pub fn new(round: u64, sender: usize) -> Self {
        Self { hash: hash_words([round, sender as u64]), sender }
    }
}

/// A sample of up to 64 senders that represents the fleet in bit sets, in which each of them has one bit. The senders are
/// selected by a hash, because senders with consecutive numbers may be in the same zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerSample {
    members: Vec<usize>,
}

impl PeerSample {
    /// The sample of a fleet of `sender_count` senders.
    pub fn new(sender_count: usize) -> Self {
        let mut members: Vec<usize> = (0..sender_count).collect();
        members.sort_by_key(|sender| (hash_words([*sender as u64]), *sender));
        members.truncate(u64::BITS as usize);
        Self { members }
    }

    /// The sampled senders, in the order of their bits from the lowest.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    /// The bit of one sender; zero if it is not sampled.
    pub fn bit(&self, sender: usize) -> u64 {
        self.members.iter().position(|member| *member == sender).map_or(0, |bit| 1 << bit)
    }

    /// The bits of several senders; senders that are not sampled have none.
    pub fn bits(&self, senders: impl IntoIterator<Item = usize>) -> u64 {
        senders.into_iter().fold(0, |bits, sender| bits | self.bit(sender))
    }

    /// The bits of all sampled senders.
    pub fn all_bits(&self) -> u64 {
        self.bits(self.members.iter().copied())
    }

    /// The sampled senders whose bits are set. Bits that belong to no sender are ignored.
    pub fn senders(&self, bits: u64) -> impl Iterator<Item = usize> {
        self.members
            .iter()
            .enumerate()
            .filter(move |(bit, _)| bits >> bit & 1 == 1)
            .map(|(_, sender)| *sender)
    }
}
