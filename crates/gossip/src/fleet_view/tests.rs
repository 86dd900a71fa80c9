use super::*;
use crate::datagram_budget::DatagramClass;
use crate::envelope::{MAX_BODY_LEN, seal};
use crate::outlier_detection::Vote;
use crate::tenant_usage::Register;
use message::{AnnouncedRegister, AnnouncedWindowSlice, MOST_JUDGES, MOST_RECEIVERS};
use proptest::prelude::*;

const NOW: u64 = 1_700_000_000_500;
const ROUND: u64 = NOW / EPOCH;

fn local(number: usize, incarnation: Incarnation, complete_from: u64, max: u32) -> LocalSender {
    LocalSender { number, incarnation, complete_from, max_messages_per_second: max }
}

fn views(me: usize, senders: usize) -> FleetView {
    let halls = (0..senders).map(|n| (n % 3) as u16).collect();
    FleetView::new(local(me, Incarnation(NOW - 60_000), NOW - 60_000, u32::MAX), halls)
        .expect("one of the tier")
}

fn word(ago: u64) -> Vote {
    Vote { last: NOW - ago, first: NOW - ago - 3_000_000, recovered: false }
}

#[test]
fn what_does_not_fit_a_note_is_left_out_and_the_rest_reads_as_it_was_written() {
    let totals: BTreeMap<u16, u32> = (0..40).map(|n| (60_000 + n, u32::MAX / 512 - u32::from(n))).collect();
    let register = Register { totals, rest: 9, partial: false };
    let mut aggregator = views(0, MAX_SENDERS);
    for n in 1..MAX_SENDERS {
        assert!(aggregator.counts.merge_register(
            NOW,
            RegisterKey { sender: n, incarnation: Incarnation(1) },
            ROUND - 1,
            &register
        ));
        let words: Vec<_> = (0..8)
            .map(|r| ObserverVote { receiver: Receiver::of(r, "r"), observer: n, vote: word(n as u64) })
            .collect();
        aggregator.judgements.receive_votes(NOW, n, &words);
    }
    let datagrams = aggregator.answers(NOW, ROUND, &(1..4).collect());
    assert_eq!(datagrams.len(), 3);
    for OutgoingDatagram { to, bytes: note } in datagrams {
        assert!(note.len() <= 256, "{} bytes", note.len());
        let mut reader = views(to, MAX_SENDERS);
        reader.hear(NOW, 0, &note).expect("a view");
        let read = reader.counts.read((ROUND + 3) * EPOCH, 60_000, 1);
        assert_eq!(read.senders, MAX_SENDERS);
        assert!(read.max >= u64::from(u32::MAX / 512) * 511, "{read:?}");
        assert!(reader.judgements.has_down_votes(NOW), "its judgements came along");
    }
    let own = |back| AnnouncedRegister::new(back, register.clone().truncated());
    let words = (0..8).map(|n| (Receiver::of(n, "r"), Aged::new(ROUND, &word(0)))).collect();
    let registers = (0..3).map(own).collect();
    let report = Report { incarnation: u64::MAX, round: u64::MAX, registers, words };
    assert!(report.encode().expect("it fits").len() <= 256);
    assert!(matches!(
        FleetView::new(local(0, Incarnation(1), 0, 1), vec![0; 513]),
        Err(FleetViewError::TooMany(513))
    ));
}

#[test]
fn times_are_told_to_a_twentieth_of_a_second_and_the_same_in_each_round() {
    for ago in [0, 30, 499, 2_000, 4_999] {
        let read = Aged::new(ROUND, &word(ago)).word(ROUND);
        assert!((word(ago).last..word(ago).last + 50).contains(&read.last), "{ago}: {read:?}");
        assert!((word(ago).first..word(ago).first + 50).contains(&read.first), "{ago}: {read:?}");
        assert_eq!(Aged::new(ROUND + 2, &word(ago)).word(ROUND + 2), read);
    }
}

#[test]
fn another_round_and_an_incarnation_that_cannot_be_change_nothing() {
    let report = |round, incarnation| {
        Report { incarnation, round, registers: vec![], words: vec![] }.encode().expect("it fits")
    };
    let view =
        |round| View { incarnation: 1, round, panes: vec![], words: vec![] }.encode().expect("it fits");
    let mut reader = views(0, 5);
    reader.notes_due(NOW, &mut DatagramBudget::new(&[]));
    for round in [0, ROUND - 60, ROUND - 1, ROUND + 2, u64::MAX] {
        assert_eq!(reader.hear(NOW, 1, &report(round, 1)), Err(FleetViewError::Round), "{round}");
    }
    for round in [0, ROUND - 4, ROUND + 1, u64::MAX] {
        assert_eq!(reader.hear(NOW, 1, &view(round)), Err(FleetViewError::Round), "{round}");
    }
    let absurd = reader.hear(NOW, 1, &report(ROUND, u64::MAX));
    assert!(matches!(absurd, Err(FleetViewError::IncarnationTooFarAhead(_))), "{absurd:?}");
    assert!(reader.members.last_event(1).is_none() && reader.told_by.is_empty());
    assert_eq!(reader.hear(NOW, 1, &report(ROUND, 1)), Ok(()));
}

#[test]
fn what_an_earlier_process_of_a_judge_said_is_void_from_the_first_word_of_the_next() {
    let all = [Receiver::of(1, "a"), Receiver::of(1, "b")];
    let mut reader = FleetView::new(local(0, Incarnation(1), 0, 10), vec![0; 9]).expect("one of the tier");
    let report = |incarnation, words| {
        Report { incarnation, round: ROUND, registers: vec![], words }.encode().expect("it fits")
    };
    let told = report(1, vec![(all[0], Aged::new(ROUND, &word(100)))]);
    (1..4).for_each(|judge| reader.hear(NOW, judge, &told).expect("a report"));
    assert_eq!(reader.avoided(NOW, &all), [all[0]]);
    reader.hear(NOW, 2, &report(2, vec![])).expect("a report");
    assert!(reader.avoided(NOW, &all).is_empty());
    assert_eq!(reader.hear(NOW, 2, &told), Err(FleetViewError::Older));
    assert!(reader.avoided(NOW, &all).is_empty());
}

proptest! {
    #[test]
    fn whatever_peers_say_nothing_panics_and_no_table_grows_beyond_its_bound(
        notes in proptest::collection::vec(
            (0_u64..40_000, 0_usize..12, any::<bool>(), any::<u64>(), any::<[u32; 6]>(), any::<[u8; 6]>()),
            0..200,
        ),
        noise in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..250), 0..20),
    ) {
        let mut reader = views(0, 10);
        let class = DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 };
        let mut post = DatagramBudget::new(&[class]);
        for (later, from, view, absurd, n, b) in notes {
            let now = NOW + later;
            let round = if n[0] % 4 == 0 { absurd } else { now / EPOCH };
            let incarnation = if n[1] % 4 == 0 { absurd } else { u64::from(n[1] % 8) };
            let totals = [(n[2] as u16, n[3]), (n[4] as u16, n[5])].into();
            let register = Register { totals, rest: n[0], partial: b[0] % 2 == 0 };
            let aged = Aged::new(now / EPOCH, &Vote { last: absurd, first: u64::from(n[0]), recovered: false });
            let note = if view {
                let pane = crate::tenant_usage::WindowSlice::sum(&[(usize::from(b[1]), &register)], usize::from(b[2]));
                let judges = vec![(u16::from(b[3]), aged); MOST_JUDGES];
                let words = vec![Ejection { receiver: Receiver::of(b[4].into(), "r"), judges }; MOST_RECEIVERS];
                View { incarnation, round, panes: vec![AnnouncedWindowSlice { back: b[5], pane }], words }.encode()
            } else {
                let words = vec![(Receiver::of(b[4].into(), "r"), aged); 8];
                let registers = vec![AnnouncedRegister::new(b[5], register)];
                Report { incarnation, round, registers, words }.encode()
            };
            let _ = reader.hear(now, from, &note.expect("it fits"));
            reader.notes_due(now, &mut post);
            prop_assert!(reader.told_by.len() <= 3);
            prop_assert!(reader.counts.known_senders(now).len() <= 10);
            reader.counts.read(now, n[2] as u16, 5);
            reader.avoided(now, &[Receiver::of(1, "r"), Receiver::of(2, "r")]);
        }
        for body in noise {
            for kind in [Kind::Report, Kind::Summary] {
                let mut note = seal(kind, &[0_u8; 0]).expect("it fits");
                note.extend(body.iter().take(MAX_BODY_LEN));
                let check = crc32fast::hash(&note[3..]).to_le_bytes();
                note[1..3].copy_from_slice(&check[..2]);
                let _ = reader.hear(NOW, 1, &note);
            }
        }
    }
}
