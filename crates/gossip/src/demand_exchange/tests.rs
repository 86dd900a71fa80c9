use super::aggregator_selection::MAX_AGGREGATORS;
use super::liveness::MAX_HISTORY;
use super::*;
use crate::message::MOST_GATES;

/// All may begin there at the same moment: until sums of a round that was told of a gate have come, it is as if each
/// of the others wanted one call; and a sender that hears nothing goes on alone.
#[test]
fn of_a_gate_that_is_new_there_is_an_equal_part_until_sums_can_tell_and_then_nothing() {
    let gate = LimitId::of(7, None);
    let own = [LocalDemand { limit_id: gate, limit: 60.0, demand: 1.0, calls: 0, rejected: 0, failed: 0 }];
    let mut fleet = DemandExchange::new(0, 300, Ramp { start: 0.3, growth: 0.1 });
    let start = 8 * ROUND;
    fleet.report(start, &own);
    assert_eq!(fleet.rooms(start), Some(vec![(gate, 0.2)]));
    assert_eq!(fleet.rooms(start + (HEEDED + 1) * ROUND), None);
}

/// Plays rounds of many senders that each want one call of a limit of `LIMIT`; notes between those that are up
/// arrive as `arrives` says. What the senders that are up are left with then, on average, for each call wanted.
fn rounds(
    fleets: &mut [DemandExchange],
    rounds: std::ops::Range<u64>,
    up: impl Fn(usize) -> bool,
    mut arrives: impl FnMut() -> bool,
) -> Vec<f64> {
    let own = [LocalDemand {
        limit_id: LimitId::of(7, None),
        limit: LIMIT,
        demand: 1.0,
        calls: 0,
        rejected: 0,
        failed: 0,
    }];
    let mut means = Vec::new();
    for round in rounds {
        let start = round * ROUND;
        for (at, sums) in [(start + 100, false), (start + ROUND, true)] {
            let mut post = Vec::new();
            for (n, fleet) in fleets.iter_mut().enumerate().filter(|(n, _)| up(*n)) {
                let datagrams = if sums { fleet.sums(at) } else { fleet.report(at, &own) };
                post.extend(datagrams.into_iter().map(|datagram| (n, datagram.to, datagram.bytes)));
            }
            for (from, to, note) in post {
                if up(to) && arrives() {
                    // One that is no news, as another adder was faster, is dropped.
                    let _ = fleets[to].hear(at, from, &note);
                }
            }
        }
        let rooms = fleets.iter_mut().enumerate().filter(|(n, _)| up(*n));
        let rooms: Vec<f64> =
            rooms.filter_map(|(_, fleet)| Some(fleet.rooms(start + ROUND)?.first()?.1)).collect();
        means.push(rooms.iter().sum::<f64>() / rooms.len().max(1) as f64);
    }
    means
}

const LIMIT: f64 = 60.0;
const SENDERS: usize = 120;

fn fleets() -> Vec<DemandExchange> {
    (0..SENDERS).map(|n| DemandExchange::new(n, SENDERS, Ramp { start: 0.3, growth: 0.1 })).collect()
}

/// Half of the notes are lost, and by sums of half of the senders there would be twice as much for each as there is.
#[test]
fn sums_of_few_stand_for_all_that_are_alive() {
    let mut seed = 1u32;
    let arrives = || {
        seed = crc32fast::hash(&seed.to_le_bytes());
        seed & 1 == 0
    };
    let means = rounds(&mut fleets(), 10..60, |_| true, arrives);
    let (late, fair) = (means[20..].iter().sum::<f64>() / 30.0, LIMIT * 0.95 / SENDERS as f64);
    assert!((0.8 * fair..1.25 * fair).contains(&late), "{late} for each call, {fair} are there");
}

/// Where no note is lost, whoever is missing twice is gone, and what it wanted is there for the others.
#[test]
fn what_those_leave_who_are_gone_is_given_out_within_a_second() {
    let mut fleets = fleets();
    rounds(&mut fleets, 10..40, |_| true, || true);
    let means = rounds(&mut fleets, 40..46, |n| n % 10 < 3, || true);
    let fair = LIMIT * 0.95 / (SENDERS as f64 * 0.3);
    assert!(means[3..].iter().all(|mean| *mean > 0.9 * fair), "{means:?}, {fair} are there");
}

/// Gates, and senders that are up, come and go for 25 minutes; some of those that are up lie about gates and rounds.
#[test]
fn over_a_long_run_no_table_grows_beyond_its_bound() {
    let mut fleet = DemandExchange::new(0, SENDERS, Ramp { start: 0.3, growth: 0.1 });
    let sum = Sum { wanted: 9.0, called: 9.0, refused: 9.0, failed: 9.0 };
    for round in 1_000..7_000u64 {
        let own = (0..20).map(|n| LocalDemand {
            limit_id: LimitId::of((round / 50 * 7 + n) as u16, None),
            limit: LIMIT,
            demand: 1.0,
            calls: round,
            rejected: 0,
            failed: 0,
        });
        fleet.report(round * ROUND, &own.collect::<Vec<_>>());
        for from in (round as usize % 40..SENDERS).step_by(7) {
            let told = (round + from as u64 % 4 - 2) as u32;
            let gate = |n: u64| (LimitId::of((round * 31 + n + from as u64) as u16, Some("liar")), sum);
            let drawn = (from % 2 == 0).then_some(round << (from % 60));
            let note = GossipMessage { drawn, round: told, senders: 9, gates: (0..40).map(gate).collect() };
            // Those of other rounds are dropped.
            let _ = fleet.hear(round * ROUND + 100, from, &note.encode());
        }
        fleet.rooms(round * ROUND + 200);
        assert!(fleet.own.len() <= 20 && fleet.levels.len() <= 20 && fleet.rooms.len() <= 20);
        assert!(fleet.own.values().all(|seen| seen.len() <= 6));
        let silent = fleet.aggregators.silent_count();
        let asked = fleet.aggregators.asked_count();
        assert!(fleet.collected.len() <= 3 && silent < SENDERS && asked <= MAX_AGGREGATORS);
        assert!(
            fleet.collected.values().all(|c| c.from.len() <= SENDERS && c.sums.len() <= SENDERS * MOST_GATES)
        );
        assert!(fleet.alive.len() <= MAX_HISTORY);
        fleet.sums((round + 1) * ROUND);
    }
    // And with nobody left to hear of, nothing is left but its own.
    for round in 7_000..7_100 {
        fleet.report(round * ROUND, &[]);
        fleet.sums((round + 1) * ROUND);
    }
    assert!(fleet.own.is_empty() && fleet.levels.is_empty() && fleet.collected.is_empty());
    assert_eq!(fleet.rooms(7_100 * ROUND), None);
}

/// Bits of senders that there are not would make a few senders think that most of the others are not heard.
#[test]
fn bits_that_nobody_has_tell_nothing() {
    let mut fleet = DemandExchange::new(0, 3, Ramp { start: 0.3, growth: 0.1 });
    let gate = LimitId::of(7, None);
    let own = [LocalDemand { limit_id: gate, limit: LIMIT, demand: 20.0, calls: 0, rejected: 0, failed: 0 }];
    let sum = Sum { wanted: 60.0, ..Sum::default() };
    for round in 10..12u64 {
        fleet.report(round * ROUND, &own);
        let drawn = Some(if round == 10 { u64::MAX } else { 0b111 });
        let note = GossipMessage { drawn, round: round as u32, senders: 3, gates: vec![(gate, sum)] };
        fleet.hear((round + 1) * ROUND, 1, &note.encode()).expect("sums");
    }
    let rooms = fleet.rooms(12 * ROUND).expect("sums have come");
    assert!(rooms.iter().all(|(_, calls)| *calls > 0.9), "{rooms:?}");
}
