use rudderspindle_policy::interface::Millis;
use rudderspindle_simulation::lists::{self, Overload, Pauses, Played, lists};

use super::*;

const ASK_WITHIN: Millis = 10_000.0;
const ON_REQUEST: Discovery = Discovery::OnRequest { ask_within: ASK_WITHIN };
/// Where many ask, each of `TOLD` and its parts is in force at these numbers, and at any other.
const FLEETS: [usize; 5] = [1, 30, 100, 300, usize::MAX];

fn paced(senders: usize, seed: u64) -> Vec<Pauses> {
    let pauses = |n| PollSchedule::new(ON_REQUEST, senders, seed * 1_000 + n as u64).pauses();
    (0..senders).map(|n| Box::new(pauses(n)) as Pauses).collect()
}

/// When the last of them has its list, counted from when discovery can be reached.
fn last(discovery: lists::Discovery, played: &Played) -> f64 {
    let got = played.got.iter().map(|at| at.unwrap_or(f64::INFINITY));
    got.fold(0.0, f64::max) - discovery.silent_until
}

// ---- What the pauses add up to ---------------------------------------------------------------------------

/// A change that discovery had just after it has answered, or failed to, is told before it counts as told.
#[test]
fn however_often_requests_fail_what_is_new_is_told_before_it_counts_as_told() {
    for ask_within in [ASK_WITHIN, 2_000.0, 0.0] {
        for peers in FLEETS {
            let mut pace = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let patience = pace.patience();
            // An answer that comes as late as one may is still heard.
            assert!(patience > ANSWER);
            for n in 0..1_000 {
                // Given up, refused at once, refused late but not by a queue.
                let (spent, pause) = match n % 3 {
                    0 => (patience, pace.after(patience)),
                    1 => (Duration::ZERO, pace.after_refusal(Duration::ZERO)),
                    _ => (QUEUED * 9 / 10, pace.after_refusal(QUEUED * 9 / 10)),
                };
                let told = spent + pause + ANSWER;
                assert!(told + MARGIN <= TOLD, "{peers}, {ask_within}: {spent:?} and {pause:?}");
            }
            let latest = (0..1_000).map(|_| pace.at_start()).max();
            assert!(latest <= Some(TOLD - ANSWER - MARGIN), "{peers}, {ask_within}: {latest:?}");
        }
    }
}

#[test]
fn a_start_is_no_later_than_its_sender_has_to_ask() {
    for (ask_within, at_start) in [(ASK_WITHIN, 3_750), (2_000.0, 1_800), (0.0, 3_750)] {
        for peers in [100, 300, usize::MAX] {
            let mut pace = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let latest = (0..1_000).map(|_| pace.at_start()).max();
            assert!(latest <= Some(Duration::from_millis(at_start)), "{peers}, {ask_within}: {latest:?}");
        }
    }
}

/// A watch that has fallen silent has used half of the time when that is noticed.
#[test]
fn what_a_silent_watch_has_missed_is_told_before_it_counts_as_told() {
    let silent = Duration::from_secs(3);
    for peers in FLEETS {
        let mut pace = PollSchedule::new(ON_REQUEST, peers, 1);
        let latest = (0..1_000).map(|_| pace.after(silent)).max().expect("a pause");
        assert!(silent + latest + ANSWER + MARGIN <= TOLD, "{peers}: {latest:?}");
    }
}

/// An agent of their own costs nobody anything, and what it has when it is back counts at once.
#[test]
fn where_changes_are_pushed_nobody_waits_for_a_turn_and_no_pause_grows() {
    for peers in FLEETS {
        let mut pace = PollSchedule::new(Discovery::Pushed, peers, 1);
        assert!(!pace.takes_turns());
        assert_eq!(pace.at_start(), Duration::ZERO);
        for _ in 0..100 {
            let patience = pace.patience();
            for pause in
                [pace.after(patience), pace.after_refusal(patience), pace.after_refusal(Duration::ZERO)]
            {
                assert!(patience + pause <= Duration::from_millis(400), "{patience:?} and {pause:?}");
            }
        }
    }
}

#[test]
fn a_few_ask_at_once_and_again_after_pauses_that_double() {
    let mut pace = PollSchedule::new(ON_REQUEST, 3, 1);
    assert_eq!(pace.at_start(), Duration::ZERO);
    let pauses: Vec<u128> = (0..6).map(|_| pace.after(Duration::ZERO).as_millis()).collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1_000]);
    pace.heard();
    assert_eq!(pace.after(Duration::ZERO), FIRST_PAUSE);
}

/// Only one that has kept requests in its queue is asked less often than what it has counts.
#[test]
fn pauses_are_longer_after_refusals_in_a_queue_but_no_longer_than_four_times_what_a_sender_has() {
    for (ask_within, failed) in [(ASK_WITHIN, 20), (2_000.0, 8), (0.0, 20)] {
        for peers in [100, 300, usize::MAX] {
            let mut pace = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let latest = (0..100).map(|_| pace.after_refusal(QUEUED)).max();
            assert!(latest <= Some(Duration::from_secs(failed)), "{peers}, {ask_within}: {latest:?}");
            assert!(latest > Some(GAP), "{peers}, {ask_within}: {latest:?}");
        }
    }
}

// ---- What that does to discovery -------------------------------------------------------------------------

/// What a request costs where all of them together take so long.
fn cost(all: f64, senders: usize) -> f64 {
    // However few they are, it can answer one in time.
    (all / senders as f64).min(0.25)
}

/// Any discovery answers one request of every sender within two to eight seconds; what it cannot answer in time, it
/// turns away at once.
#[test]
fn of_any_fleet_that_starts_together_nobody_starves() {
    for (seed, senders) in (0..20).flat_map(|seed| [1, 30, 100, 300].map(|senders| (seed, senders))) {
        for all in [2.0, 8.0] {
            let cost = cost(all, senders);
            let discovery = lists::Discovery { cost, overload: Overload::TurnsAway, silent_until: 0.0 };
            let last = last(discovery, &lists(discovery, paced(senders, seed)));
            // As much longer as one that was turned away last waits for its turn.
            let within = all + GAP.as_secs_f64() + cost;
            assert!(last <= within, "seed {seed}, {senders} senders, {all} s: the last list after {last} s");
        }
    }
}

#[test]
fn a_discovery_that_comes_back_is_not_struck_by_all_and_all_have_their_lists() {
    for (seed, senders) in (0..20).flat_map(|seed| [30, 100, 300].map(|senders| (seed, senders))) {
        for all in [2.0, 8.0] {
            let cost = cost(all, senders);
            let silent_until = 8.0 + seed as f64 / 7.0;
            let discovery = lists::Discovery { cost, overload: Overload::TurnsAway, silent_until };
            let played = lists(discovery, paced(senders, seed));
            let last = last(discovery, &played);
            let within = all + GAP.as_secs_f64() + cost;
            assert!(last <= within, "seed {seed}, {senders} senders, {all} s: the last list after {last} s");
            // In any tenth of a second after the return: were they evenly spread, it would be a thirtieth.
            let soon = |from: f64| played.asked.iter().filter(|&&at| at >= from && at < from + 0.1).count();
            let most = (0..40).map(|n| soon(silent_until + f64::from(n) * 0.1)).max().expect("some");
            assert!(most * 5 <= senders, "seed {seed}: {most} of {senders} within a tenth of a second");
        }
    }
}

/// All watches fall silent in one moment, which all their senders notice in one moment, too.
#[test]
fn senders_whose_watches_end_together_do_not_ask_together() {
    for spent in [Duration::from_secs(3), Duration::ZERO] {
        let senders = 300;
        let pause = |n| PollSchedule::new(ON_REQUEST, senders, n).after(spent).as_millis() / 100;
        let pauses: Vec<u128> = (0..senders as u64).map(pause).collect();
        let most = (0..60).map(|at| pauses.iter().filter(|&&pause| pause == at).count()).max().expect("some");
        assert!(most * 5 <= senders, "{most} of {senders} within a tenth of a second, {spent:?}");
    }
}

/// One that keeps requests in its queue gets through by pauses that are longer.
#[test]
fn many_that_start_together_have_their_lists_within_three_rounds_of_a_queue() {
    let cases = [(100, 0.02, 30.0), (100, 0.05, 30.0), (100, 0.1, 30.0), (300, 0.02, 30.0)];
    for (seed, (senders, cost, within)) in (0..20).flat_map(|seed| cases.map(|case| (seed, case))) {
        let discovery = lists::Discovery { cost, overload: Overload::WorksOff, silent_until: 0.0 };
        let last = last(discovery, &lists(discovery, paced(senders, seed)));
        assert!(
            last <= within,
            "seed {seed}, {senders} senders, {cost} s a request: the last list came after {last} s"
        );
    }
}

/// What the turns are for: the same pauses for all, as a sender alone makes them, never get through a queue.
#[test]
fn a_hundred_that_ask_as_if_they_were_alone_starve_each_other() {
    let alone = |_| Box::new(PollSchedule::new(ON_REQUEST, 1, 0).pauses()) as Pauses;
    let discovery = lists::Discovery { cost: 0.1, overload: Overload::WorksOff, silent_until: 0.0 };
    let played = lists(discovery, (0..100).map(alone).collect());
    let starved = played.got.iter().filter(|at| at.is_none()).count();
    assert!(starved > 50, "only {starved} had no list after a minute");
}
