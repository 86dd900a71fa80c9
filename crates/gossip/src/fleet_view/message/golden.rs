//! Compares encoded reports and summaries with golden bytes, because the wire format must not change.

use super::encoded_vote::EncodedVote;
use super::{ObserverEntry, ReceiverEntry, RegisterEntry, Report, SliceEntry, Summary, VoteEntry};
use crate::envelope::{Envelope, Kind, open, read};
use crate::golden::datagram;
use crate::outlier_detection::{ReceiverId, Vote};
use crate::tenant_usage::{Register, SenderRegister, TenantTotal, WindowSlice, epoch_start};

const FILE: &str = "views.txt";
const ROUND: u64 = 1_700_000_000;

fn register_entry(epochs_back: u8, totals: &[(u16, u32)]) -> RegisterEntry {
    let total = |&(tenant, messages): &(u16, u32)| TenantTotal { tenant, messages };
    let totals = totals.iter().map(total).collect();
    RegisterEntry { epochs_back, totals, max_unlisted: 9, partial: epochs_back == 1 }
}

fn encoded(age: u8, recovered: bool) -> EncodedVote {
    EncodedVote { age, duration: 300 + u16::from(age), recovered }
}

fn report() -> Report {
    Report {
        incarnation: 1_699_999_990_000,
        round: ROUND,
        registers: vec![
            register_entry(0, &[(7, 1), (513, 70_000)]),
            register_entry(1, &[]),
            register_entry(2, &[(0, u32::MAX)]),
        ],
        votes: vec![
            VoteEntry { receiver: ReceiverId::of(513, "receiver-1"), vote: encoded(3, false) },
            VoteEntry { receiver: ReceiverId::of(7, "receiver-2"), vote: encoded(255, true) },
        ],
    }
}

/// A slice for a fleet of nine senders: the usage of three is complete, that of one is partial.
fn slice(partial_total: u32) -> WindowSlice {
    let register = |tenant: u16, total: u32, max_unlisted: u32, partial: bool| {
        let totals = [(7, 1), (tenant, total)].into_iter().collect();
        Register { totals, max_unlisted, partial }
    };
    let [of_0, of_3, of_8] =
        [register(513, 70_000, 2, false), register(8, 5, 4, false), register(9, 3, 0, false)];
    let partial_of_5 = register(513, partial_total, 1, true);
    let of_sender = |(sender, register)| SenderRegister { sender, register };
    WindowSlice::sum(&[(0, &of_0), (3, &of_3), (8, &of_8), (5, &partial_of_5)].map(of_sender), 9)
}

fn summary() -> Summary {
    let observer = |&(observer, vote): &(u16, EncodedVote)| ObserverEntry { observer, vote };
    let entry = |receiver, votes: &[(u16, EncodedVote)]| {
        let votes = votes.iter().map(observer).collect();
        ReceiverEntry { receiver, votes }
    };
    Summary {
        incarnation: u64::MAX,
        round: ROUND - 1,
        slices: vec![
            SliceEntry { epochs_back: 0, slice: slice(1) },
            SliceEntry { epochs_back: 2, slice: slice(2) },
        ],
        receivers: vec![
            entry(ReceiverId::of(513, "receiver-1"), &[(1, encoded(3, false)), (511, encoded(4, true))]),
            entry(ReceiverId::of(7, ""), &[(300, encoded(0, false))]),
        ],
    }
}

#[test]
fn reports_have_the_golden_bytes_and_decode_to_what_was_encoded() {
    let empty = Report { incarnation: 1, round: 2, registers: vec![], votes: vec![] };
    for (name, report) in [("report-empty", empty), ("report", report())] {
        let bytes = datagram(FILE, name);
        assert_eq!(report.clone().encode().expect("encoded message"), bytes, "{name}");
        let Envelope { kind, body } = open(&bytes).expect("a datagram");
        assert_eq!((kind, read(body)), (Kind::Report, Ok(report)), "{name}");
    }
}

#[test]
fn summaries_have_the_golden_bytes_and_decode_to_what_was_encoded() {
    let empty = Summary { incarnation: 1, round: 2, slices: vec![], receivers: vec![] };
    for (name, summary) in [("view-empty", empty), ("view", summary())] {
        let bytes = datagram(FILE, name);
        assert_eq!(summary.clone().encode().expect("encoded message"), bytes, "{name}");
        let Envelope { kind, body } = open(&bytes).expect("a datagram");
        assert_eq!((kind, read(body)), (Kind::Summary, Ok(summary)), "{name}");
    }
}

/// Both messages are too long for a datagram, so entries are left out in a fixed order.
#[test]
fn too_long_messages_are_shortened_to_the_golden_bytes() {
    let totals: Vec<(u16, u32)> = (0..16).map(|n| (60_000 + n, 1_000_000 - u32::from(n))).collect();
    let registers = (0..3).map(|epochs_back| register_entry(epochs_back, &totals)).collect();
    let long = Report { registers, ..report() };
    assert_eq!(long.encode().expect("encoded message"), datagram(FILE, "report-without-room"));
    let register = Register { totals: totals.into_iter().collect(), max_unlisted: 9, partial: false };
    let of_sender = |sender| SenderRegister { sender, register: &register };
    let of_many: Vec<SenderRegister<'_>> = (0..300).map(of_sender).collect();
    let slice = |epochs_back| SliceEntry { epochs_back, slice: WindowSlice::sum(&of_many, 512) };
    let vote = encoded(9, false);
    let votes: Vec<ObserverEntry> = (300..304).map(|observer| ObserverEntry { observer, vote }).collect();
    let receiver = |n| ReceiverEntry { receiver: ReceiverId::of(n, "receiver"), votes: votes.clone() };
    let slices = (0..3).map(slice).collect();
    let long = Summary { slices, receivers: (0..6).map(receiver).collect(), ..summary() };
    assert_eq!(long.encode().expect("encoded message"), datagram(FILE, "view-without-room"));
}

#[test]
fn votes_encode_to_fixed_steps_and_decode_within_one_step() {
    let last_observed_at = epoch_start(ROUND) + 130;
    let vote = Vote { last_observed_at, first_observed_at: last_observed_at - 60_000, recovered: true };
    let encoded = EncodedVote { age: 37, duration: 1_200, recovered: true };
    assert_eq!(EncodedVote::new(ROUND, &vote), encoded);
    let decoded = Vote {
        last_observed_at: last_observed_at + 20,
        first_observed_at: last_observed_at - 59_980,
        recovered: true,
    };
    assert_eq!(encoded.decode(ROUND), decoded);
}
