//! Reports and views of counts and judgements: the bytes that the version before the renames wrote.

use super::*;
use crate::envelope::{open, read};
use crate::golden::datagram;

const FILE: &str = "views.txt";
const ROUND: u64 = 1_700_000_000;

fn told_register(back: u8, totals: &[(u16, u32)]) -> AnnouncedRegister {
    let total = |&(tenant, messages): &(u16, u32)| TenantTotal { tenant, messages };
    let totals = totals.iter().map(total).collect();
    AnnouncedRegister { back, totals, rest: 9, partial: back == 1 }
}

fn aged(ago: u8, back: bool) -> Aged {
    Aged { ago, run: 300 + u16::from(ago), back }
}

fn report() -> Report {
    Report {
        incarnation: 1_699_999_990_000,
        round: ROUND,
        registers: vec![
            told_register(0, &[(7, 1), (513, 70_000)]),
            told_register(1, &[]),
            told_register(2, &[(0, u32::MAX)]),
        ],
        words: vec![
            (Receiver::of(513, "receiver-1"), aged(3, false)),
            (Receiver::of(7, "receiver-2"), aged(255, true)),
        ],
    }
}

/// Of nine senders: three whole, one in part.
fn pane(more: u32) -> WindowSlice {
    let register = |tenant: u16, total: u32, rest: u32, partial: bool| {
        let totals = [(7, 1), (tenant, total)].into_iter().collect();
        Register { totals, rest, partial }
    };
    let [a, b, c] = [register(513, 70_000, 2, false), register(8, 5, 4, false), register(9, 3, 0, false)];
    let d = register(513, more, 1, true);
    WindowSlice::sum(&[(0, &a), (3, &b), (8, &c), (5, &d)], 9)
}

fn view() -> View {
    let judged = |receiver, judges: &[(u16, Aged)]| Ejection { receiver, judges: judges.to_vec() };
    View {
        incarnation: u64::MAX,
        round: ROUND - 1,
        panes: vec![
            AnnouncedWindowSlice { back: 0, pane: pane(1) },
            AnnouncedWindowSlice { back: 2, pane: pane(2) },
        ],
        words: vec![
            judged(Receiver::of(513, "receiver-1"), &[(1, aged(3, false)), (511, aged(4, true))]),
            judged(Receiver::of(7, ""), &[(300, aged(0, false))]),
        ],
    }
}

#[test]
fn reports_have_the_golden_bytes_and_read_as_what_was_told() {
    let empty = Report { incarnation: 1, round: 2, registers: vec![], words: vec![] };
    for (name, report) in [("report-empty", empty), ("report", report())] {
        let bytes = datagram(FILE, name);
        assert_eq!(report.clone().encode().expect("it fits"), bytes, "{name}");
        let (kind, body) = open(&bytes).expect("a datagram");
        assert_eq!((kind, read(body)), (Kind::Report, Ok(report)), "{name}");
    }
}

#[test]
fn views_have_the_golden_bytes_and_read_as_what_was_told() {
    let empty = View { incarnation: 1, round: 2, panes: vec![], words: vec![] };
    for (name, view) in [("view-empty", empty), ("view", view())] {
        let bytes = datagram(FILE, name);
        assert_eq!(view.clone().encode().expect("it fits"), bytes, "{name}");
        let (kind, body) = open(&bytes).expect("a datagram");
        assert_eq!((kind, read(body)), (Kind::Summary, Ok(view)), "{name}");
    }
}

#[test]
fn what_has_no_room_is_left_out_of_reports_and_views_as_in_the_golden_bytes() {
    let totals: Vec<(u16, u32)> = (0..16).map(|n| (60_000 + n, 1_000_000 - u32::from(n))).collect();
    let registers = (0..3).map(|back| told_register(back, &totals)).collect();
    let long = Report { registers, ..report() };
    assert_eq!(long.encode().expect("it fits"), datagram(FILE, "report-without-room"));
    let register = Register { totals: totals.into_iter().collect(), rest: 9, partial: false };
    let of_many: Vec<(usize, &Register)> = (0..300).map(|n| (n, &register)).collect();
    let told = |back| AnnouncedWindowSlice { back, pane: WindowSlice::sum(&of_many, 512) };
    let judges: Vec<(u16, Aged)> = (300..304).map(|judge| (judge, aged(9, false))).collect();
    let judged = |n| Ejection { receiver: Receiver::of(n, "receiver"), judges: judges.clone() };
    let panes = (0..3).map(told).collect();
    let long = View { panes, words: (0..6).map(judged).collect(), ..view() };
    assert_eq!(long.encode().expect("it fits"), datagram(FILE, "view-without-room"));
}

#[test]
fn a_word_is_told_in_the_same_steps_of_its_round_and_read_as_the_same_times() {
    let last = ROUND * EPOCH + 130;
    let word = Vote { last, first: last - 60_000, recovered: true };
    let told = Aged { ago: 37, run: 1_200, back: true };
    assert_eq!(Aged::new(ROUND, &word), told);
    let read = Vote { last: last + 20, first: last - 59_980, recovered: true };
    assert_eq!(told.word(ROUND), read);
}
