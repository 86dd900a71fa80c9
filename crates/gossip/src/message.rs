//! Notes on the wire: datagrams of at most 256 bytes, versioned and checked.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version and kind |
//! | 2 | check: the low half of the CRC-32 of all that follows |
//! | 4 | the round, modulo 2^32 |
//! | 2 | how many senders the figures are of; 1 in a report |
//! | 8 in sums, none in a report | which of 64 drawn senders the figures are of, a bit for each |
//! | 7 for each gate | its name (3), calls wanted (1), called in the last second (1), refused (1) and failed (1) in it |
//!
//! All little endian. Figures are coded: up to 16 as they are, above that in steps of a twenty-fourth.

use crate::limit_id::LimitId;
use crate::sums::Sum;

/// Bytes of a note at most, as the platform has it.
pub const MAX_MESSAGE_LEN: usize = 256;
const HEAD: usize = 9;
/// Which of the senders that are drawn are in the sums.
const DRAWN: usize = 8;
const ENTRY: usize = 7;
/// Gates that a note has room for.
pub(crate) const MOST_GATES: usize = (MAX_MESSAGE_LEN - HEAD - DRAWN) / ENTRY;
/// Version 2; the first one told of no failed calls.
const REPORT: u8 = 0x61;
const SUMS: u8 = 0x62;

/// Why a datagram is no note, or none that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum GossipError {
    /// Too short, too long, or cut within an entry.
    #[error(
        "a note has 9 (sums: 17) to {MAX_MESSAGE_LEN} bytes, seven for each gate after those; this has {0}"
    )]
    Length(usize),
    /// Another version, or nothing of ours.
    #[error("kind {0:#04x} is not known; 0x61 and 0x62 are")]
    Kind(u8),
    /// Damaged.
    #[error("its check does not fit")]
    Check,
    /// Of a round that is over, or of one to come, or told already.
    #[error("it is of another round, or was heard before")]
    Round,
    /// From nobody of the tier, or from ourselves.
    #[error("it comes from no other sender of the tier")]
    UnknownSender,
}

/// What a note holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GossipMessage {
    /// In sums: which of the senders that are drawn they are of. Nothing in one sender's report.
    pub drawn: Option<u64>,
    pub round: u32,
    pub senders: u16,
    pub gates: Vec<(LimitId, Sum)>,
}

/// Codes from here on grow by a factor.
const PLAIN: f64 = 16.0;
const STEP: f64 = 25.0 / 24.0;

fn code(figure: f64) -> u8 {
    let steps = if figure <= PLAIN { figure } else { PLAIN + (figure / PLAIN).ln() / STEP.ln() };
    // A figure that is none, or absurd, ends up at one of the ends.
    steps.round() as u8
}

fn figure(code: u8) -> f64 {
    let code = f64::from(code);
    if code <= PLAIN { code } else { PLAIN * STEP.powf(code - PLAIN) }
}

/// Whether there is nothing to tell of it, as the other end will read it.
pub(crate) fn is_nothing(sum: &Sum) -> bool {
    [sum.wanted, sum.called, sum.refused, sum.failed].iter().all(|&figure| code(figure) == 0)
}

impl GossipMessage {
    /// The gates where most is wanted, refused and failed go first; those for which there is no room are left out.
    pub(crate) fn encode(mut self) -> Vec<u8> {
        let weight = |sum: &Sum| sum.wanted + sum.refused + sum.failed;
        self.gates.sort_by(|a, b| weight(&b.1).total_cmp(&weight(&a.1)).then(a.0.cmp(&b.0)));
        let mut bytes = vec![if self.drawn.is_some() { SUMS } else { REPORT }, 0, 0];
        bytes.extend(self.round.to_le_bytes());
        bytes.extend(self.senders.to_le_bytes());
        bytes.extend(self.drawn.iter().flat_map(|drawn| drawn.to_le_bytes()));
        for (gate, sum) in self.gates.iter().take(MOST_GATES) {
            bytes.extend(&gate.0.to_le_bytes()[..3]);
            bytes.extend([sum.wanted, sum.called, sum.refused, sum.failed].map(code));
        }
        let check = crc32fast::hash(&bytes[3..]).to_le_bytes();
        bytes[1..3].copy_from_slice(&check[..2]);
        bytes
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, GossipError> {
        let length = bytes.len();
        let sums = match bytes.first() {
            None | Some(&REPORT) => false,
            Some(&SUMS) => true,
            Some(&other) => return Err(GossipError::Kind(other)),
        };
        let head = if sums { HEAD + DRAWN } else { HEAD };
        if !(head..=MAX_MESSAGE_LEN).contains(&length) || !(length - head).is_multiple_of(ENTRY) {
            return Err(GossipError::Length(length));
        }
        if crc32fast::hash(&bytes[3..]).to_le_bytes()[..2] != bytes[1..3] {
            return Err(GossipError::Check);
        }
        let round = u32::from_le_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]);
        let senders = u16::from_le_bytes([bytes[7], bytes[8]]);
        let (drawn, entries) = bytes[HEAD..].split_at(head - HEAD);
        let drawn = drawn.try_into().ok().map(u64::from_le_bytes);
        let entry = |e: &[u8]| {
            let gate = LimitId(u32::from_le_bytes([e[0], e[1], e[2], 0]));
            let [wanted, called, refused, failed] = [e[3], e[4], e[5], e[6]].map(figure);
            (gate, Sum { wanted, called, refused, failed })
        };
        Ok(Self { drawn, round, senders, gates: entries.chunks_exact(ENTRY).map(entry).collect() })
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests {
    use super::*;

    fn note(gates: usize) -> GossipMessage {
        let sum = |n: usize| Sum { wanted: n as f64, called: 3.0, refused: 1.0, failed: 2.0 };
        let gates = (0..gates).map(|n| (LimitId::of(n as u16, None), sum(n))).collect();
        GossipMessage { drawn: Some(0x8000_0000_0000_0007), round: 70_000, senders: 300, gates }
    }

    #[test]
    fn a_note_reads_as_it_was_written_and_the_gates_that_matter_most_fit() {
        let few = note(3);
        let mut read = GossipMessage::decode(&few.clone().encode()).expect("a note");
        read.gates.reverse();
        assert_eq!(read, few);
        let bytes = note(100).encode();
        assert!(bytes.len() <= MAX_MESSAGE_LEN, "{}", bytes.len());
        let read = GossipMessage::decode(&bytes).expect("a note");
        assert_eq!(read.gates.len(), MOST_GATES);
        let least = read.gates.iter().map(|(_, sum)| sum.wanted).fold(f64::INFINITY, f64::min);
        assert!(least >= 55.0, "a gate with {least} wanted was written, one with more was not");
    }

    #[test]
    fn figures_are_exact_while_small_and_within_a_twentieth_above() {
        for n in 0..=16 {
            assert_eq!(figure(code(f64::from(n))), f64::from(n));
        }
        for n in [17.0, 55.0, 300.0, 2_000.0, 100_000.0] {
            let read = figure(code(n));
            assert!((read / n - 1.0).abs() < 0.05, "{n} reads {read}");
        }
        for absurd in [f64::NAN, -5.0, f64::INFINITY, f64::MAX] {
            assert!(figure(code(absurd)).is_finite());
        }
    }

    #[test]
    fn what_is_cut_damaged_too_long_or_of_another_version_is_no_note() {
        let good = note(2).encode();
        for length in 0..good.len() {
            assert!(GossipMessage::decode(&good[..length]).is_err(), "{length} bytes of it");
        }
        for byte in 0..good.len() {
            let mut bad = good.clone();
            bad[byte] ^= 0x10;
            assert!(GossipMessage::decode(&bad).is_err(), "byte {byte} changed");
        }
        assert_eq!(GossipMessage::decode(&[0x61; 262]), Err(GossipError::Length(262)));
        let mut other = good.clone();
        other[0] = 0x51;
        assert_eq!(GossipMessage::decode(&other), Err(GossipError::Kind(0x51)));
    }
}
