//! Deterministic selection of senders: every sender computes the same order and the same sample from the fleet size alone.

/// CRC-32 over words in little-endian order, as a cheap hash that is stable across versions and platforms.
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
    /// The sender's position in the order of `round`.
    pub fn new(round: u64, sender: usize) -> Self {
        Self { hash: hash_words([round, sender as u64]), sender }
    }
}

/// Up to 64 senders that represent the fleet in bit sets, with one bit each. They are selected by a hash, since consecutive
/// numbers may share a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerSample {
    members: Vec<usize>,
}

impl PeerSample {
    /// The sample of a fleet of `senders`.
    pub fn new(senders: usize) -> Self {
        let mut members: Vec<usize> = (0..senders).collect();
        members.sort_by_key(|sender| (hash_words([*sender as u64]), *sender));
        members.truncate(u64::BITS as usize);
        Self { members }
    }

    /// The sampled senders, lowest bit first.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    /// The bit of one sender; zero if it is not sampled.
    pub fn bit(&self, sender: usize) -> u64 {
        self.members.iter().position(|member| *member == sender).map_or(0, |bit| 1 << bit)
    }

    /// The bits of several senders.
    pub fn bits(&self, senders: impl IntoIterator<Item = usize>) -> u64 {
        senders.into_iter().fold(0, |bits, sender| bits | self.bit(sender))
    }

    /// The bits of all sampled senders.
    pub fn all_bits(&self) -> u64 {
        self.bits(self.members.iter().copied())
    }

    /// The senders whose bits are set; other bits are ignored.
    pub fn senders(&self, bits: u64) -> impl Iterator<Item = usize> {
        self.members
            .iter()
            .enumerate()
            .filter(move |(bit, _)| bits >> bit & 1 == 1)
            .map(|(_, sender)| *sender)
    }
}
