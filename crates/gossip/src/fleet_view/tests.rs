use std::collections::BTreeMap;

use proptest::prelude::{any, prop_assert, proptest};
use rudderspindle_clock::UnixMillis;

use super::message::{
    EncodedVote, MAX_OBSERVERS, MAX_RECEIVERS, ObserverEntry, ReceiverEntry, RegisterEntry, Report,
    SliceEntry, Summary, VoteEntry,
};
use super::{FleetView, FleetViewError, MAX_SENDERS};
use crate::datagram_budget::{DatagramBudget, DatagramClass};
use crate::envelope::{Kind, MAX_BODY_LEN, seal};
use crate::membership::Incarnation;
use crate::outgoing_datagram::OutgoingDatagram;
use crate::outlier_detection::{ObserverVote, ReceiverId, Vote};
use crate::tenant_usage::{
    EPOCH_LENGTH, LocalSender, Register, RegisterKey, SenderRegister, WindowSlice, epoch_at, epoch_start,
};

const NOW: UnixMillis = UnixMillis(1_700_000_000_500);
const ROUND: u64 = NOW.0 / EPOCH_LENGTH;

fn local(number: usize, incarnation: u64, max_messages_per_second: u32) -> LocalSender {
    LocalSender {
        number,
        incarnation: Incarnation(incarnation),
        complete_from: UnixMillis(incarnation),
        max_messages_per_second,
    }
}

fn fleet_view(number: usize, senders: usize) -> FleetView {
    let zones = (0..senders).map(|n| (n % 3) as u16).collect();
    FleetView::new(local(number, NOW.0 - 60_000, u32::MAX), zones).expect("a sender of the fleet")
}

/// A vote that a receiver is down: its last failure was observed `age_ms` before `NOW`, its first one 3,000 s earlier.
fn vote(age_ms: u64) -> Vote {
    Vote { last_observed_at: NOW - age_ms, first_observed_at: NOW - age_ms - 3_000_000, recovered: false }
}

/// Entries that do not fit into a datagram are left out; the others decode to what was encoded.
#[test]
fn too_long_reports_and_summaries_are_shortened_to_one_datagram() {
    let totals: BTreeMap<u16, u32> = (0..40).map(|n| (60_000 + n, u32::MAX / 512 - u32::from(n))).collect();
    let register = Register { totals, max_unlisted: 9, partial: false };
    let mut aggregator = fleet_view(0, MAX_SENDERS);
    for sender in 1..MAX_SENDERS {
        let key = RegisterKey { sender, incarnation: Incarnation(1) };
        assert!(aggregator.usage.merge_register(NOW, key, ROUND - 1, &register));
        let votes = (0..8).map(|receiver| ObserverVote {
            receiver: ReceiverId::of(receiver, "r"),
            observer: sender,
            vote: vote(sender as u64),
        });
        let votes: Vec<ObserverVote> = votes.collect();
        aggregator.outliers.receive_votes(NOW, sender, &votes);
    }
    let datagrams = aggregator.summaries(NOW, ROUND, &(1..4).collect());
    assert_eq!(datagrams.len(), 3);
    for OutgoingDatagram { to, bytes: datagram } in datagrams {
        assert!(datagram.len() <= 256, "{} bytes", datagram.len());
        let mut reader = fleet_view(to, MAX_SENDERS);
        reader.receive(NOW, 0, &datagram).expect("a summary");
        let read = reader.usage.read(epoch_start(ROUND + 3), 60_000, 1);
        assert_eq!(read.senders, MAX_SENDERS);
        assert!(read.max >= u64::from(u32::MAX / 512) * 511, "{read:?}");
        assert!(reader.outliers.has_down_votes(NOW), "the down votes are in the summary");
    }
    let register_entry = |epochs_back| RegisterEntry::new(epochs_back, register.clone().truncated());
    let own_vote =
        |n| VoteEntry { receiver: ReceiverId::of(n, "r"), vote: EncodedVote::new(ROUND, &vote(0)) };
    let votes = (0..8).map(own_vote).collect();
    let registers = (0..3).map(register_entry).collect();
    let report = Report { incarnation: u64::MAX, round: u64::MAX, registers, votes };
    assert!(report.encode().expect("encoded message").len() <= 256);
    let too_large = FleetView::new(local(0, 1, 1), vec![0; 513]);
    assert!(matches!(too_large, Err(FleetViewError::TooManySenders(513))));
}

/// The times are rounded up by less than 50 ms.
#[test]
fn vote_times_decode_identically_from_messages_of_different_rounds() {
    for age_ms in [0, 30, 499, 2_000, 4_999] {
        let decoded = EncodedVote::new(ROUND, &vote(age_ms)).decode(ROUND);
        assert!(
            (vote(age_ms).last_observed_at..vote(age_ms).last_observed_at + 50)
                .contains(&decoded.last_observed_at),
            "{age_ms}: {decoded:?}"
        );
        assert!(
            (vote(age_ms).first_observed_at..vote(age_ms).first_observed_at + 50)
                .contains(&decoded.first_observed_at),
            "{age_ms}: {decoded:?}"
        );
        assert_eq!(EncodedVote::new(ROUND + 2, &vote(age_ms)).decode(ROUND + 2), decoded);
    }
}

#[test]
fn messages_with_invalid_round_or_incarnation_change_nothing() {
    let report = |round, incarnation| {
        Report { incarnation, round, registers: vec![], votes: vec![] }.encode().expect("encoded message")
    };
    let summary = |round| {
        Summary { incarnation: 1, round, slices: vec![], receivers: vec![] }
            .encode()
            .expect("encoded message")
    };
    let mut reader = fleet_view(0, 5);
    reader.due_datagrams(NOW, &mut DatagramBudget::new(&[]));
    for round in [0, ROUND - 60, ROUND - 1, ROUND + 2, u64::MAX] {
        let received = reader.receive(NOW, 1, &report(round, 1));
        assert_eq!(received, Err(FleetViewError::WrongRound), "{round}");
    }
    for round in [0, ROUND - 4, ROUND + 1, u64::MAX] {
        let received = reader.receive(NOW, 1, &summary(round));
        assert_eq!(received, Err(FleetViewError::WrongRound), "{round}");
    }
    let far_ahead = reader.receive(NOW, 1, &report(ROUND, u64::MAX));
    assert!(matches!(far_ahead, Err(FleetViewError::IncarnationTooFarAhead(_))), "{far_ahead:?}");
    assert!(reader.members().last_event(1).is_none() && reader.reporters.is_empty());
    assert_eq!(reader.receive(NOW, 1, &report(ROUND, 1)), Ok(()));
}

/// The first message of a newer incarnation invalidates the votes of the earlier one.
#[test]
fn votes_of_a_replaced_observer_process_are_dropped() {
    let receivers = [ReceiverId::of(1, "a"), ReceiverId::of(1, "b")];
    let mut reader = FleetView::new(local(0, 1, 10), vec![0; 9]).expect("a sender of the fleet");
    let report = |incarnation, votes| {
        Report { incarnation, round: ROUND, registers: vec![], votes }.encode().expect("encoded message")
    };
    let down = VoteEntry { receiver: receivers[0], vote: EncodedVote::new(ROUND, &vote(100)) };
    let vote_of_first_process = report(1, vec![down]);
    (1..4).for_each(|observer| reader.receive(NOW, observer, &vote_of_first_process).expect("a report"));
    assert_eq!(reader.ejected(NOW, &receivers), [receivers[0]]);
    reader.receive(NOW, 2, &report(2, vec![])).expect("a report");
    assert!(reader.ejected(NOW, &receivers).is_empty());
    assert_eq!(reader.receive(NOW, 2, &vote_of_first_process), Err(FleetViewError::StaleIncarnation));
    assert!(reader.ejected(NOW, &receivers).is_empty());
}

/// Content of a report or summary in which any field may be forged.
#[derive(Clone, Copy, Debug)]
struct Forgery {
    round: u64,
    incarnation: u64,
    vote: EncodedVote,
    numbers: [u32; 6],
    bytes: [u8; 6],
}

impl Forgery {
    fn new(now: UnixMillis, arbitrary: u64, numbers: [u32; 6], bytes: [u8; 6]) -> Self {
        let vote = Vote {
            last_observed_at: UnixMillis(arbitrary),
            first_observed_at: UnixMillis(numbers[0].into()),
            recovered: false,
        };
        Self {
            round: if numbers[0].is_multiple_of(4) { arbitrary } else { epoch_at(now) },
            incarnation: if numbers[1].is_multiple_of(4) { arbitrary } else { u64::from(numbers[1] % 8) },
            vote: EncodedVote::new(epoch_at(now), &vote),
            numbers,
            bytes,
        }
    }

    fn register(&self) -> Register {
        let [max_unlisted, _, first_tenant, first_total, second_tenant, second_total] = self.numbers;
        let totals = [(first_tenant as u16, first_total), (second_tenant as u16, second_total)].into();
        Register { totals, max_unlisted, partial: self.bytes[0].is_multiple_of(2) }
    }

    fn receiver(&self) -> ReceiverId {
        ReceiverId::of(self.bytes[4].into(), "r")
    }

    fn summary(&self) -> Vec<u8> {
        let [_, sender, senders, observer, _, epochs_back] = self.bytes;
        let register = &self.register();
        let of_sender = SenderRegister { sender: usize::from(sender), register };
        let slice = WindowSlice::sum(&[of_sender], usize::from(senders));
        let entry = ObserverEntry { observer: u16::from(observer), vote: self.vote };
        let entry = ReceiverEntry { receiver: self.receiver(), votes: vec![entry; MAX_OBSERVERS] };
        let slices = vec![SliceEntry { epochs_back, slice }];
        let receivers = vec![entry; MAX_RECEIVERS];
        let summary = Summary { incarnation: self.incarnation, round: self.round, slices, receivers };
        summary.encode().expect("encoded message")
    }

    fn report(&self) -> Vec<u8> {
        let votes = vec![VoteEntry { receiver: self.receiver(), vote: self.vote }; 8];
        let registers = vec![RegisterEntry::new(self.bytes[5], self.register())];
        let report = Report { incarnation: self.incarnation, round: self.round, registers, votes };
        report.encode().expect("encoded message")
    }
}

/// A datagram with a valid envelope whose body starts with an empty list, followed by `noise`.
fn datagram_of_noise(kind: Kind, noise: &[u8]) -> Vec<u8> {
    let mut datagram = seal(kind, &[0_u8; 0]).expect("encoded message");
    datagram.extend(noise.iter().take(MAX_BODY_LEN));
    let checksum = crc32fast::hash(&datagram[3..]).to_le_bytes();
    datagram[1..3].copy_from_slice(&checksum[..2]);
    datagram
}

proptest! {
    /// Peers send forged reports and summaries, and valid envelopes around random bytes.
    #[test]
    fn forged_datagrams_neither_panic_nor_exceed_table_bounds(
        forged in proptest::collection::vec(
            (0_u64..40_000, 0_usize..12, any::<bool>(), any::<u64>(), any::<[u32; 6]>(), any::<[u8; 6]>()),
            0..200,
        ),
        noise in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..250), 0..20),
    ) {
        let mut reader = fleet_view(0, 10);
        let class = DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 };
        let mut budget = DatagramBudget::new(&[class]);
        for (elapsed_ms, from, is_summary, arbitrary, numbers, bytes) in forged {
            let now = NOW + elapsed_ms;
            let forgery = Forgery::new(now, arbitrary, numbers, bytes);
            let datagram = if is_summary { forgery.summary() } else { forgery.report() };
            let _ = reader.receive(now, from, &datagram);
            reader.due_datagrams(now, &mut budget);
            prop_assert!(reader.reporters.len() <= 3);
            prop_assert!(reader.usage.known_senders(now).len() <= 10);
            reader.usage.read(now, numbers[2] as u16, 5);
            reader.ejected(now, &[ReceiverId::of(1, "r"), ReceiverId::of(2, "r")]);
        }
        for body in noise {
            for kind in [Kind::Report, Kind::Summary] {
                let _ = reader.receive(NOW, 1, &datagram_of_noise(kind, &body));
            }
        }
    }
}
