//! Outages of partners whose routes share a gate, and how they are called when they come back: one trial and one
//! ramp for all routes. Single cases step by step, then scenes by the hundred in simulated time.

mod common;

use std::collections::BTreeMap;

use common::*;
use rudderspindle_policy::interface::*;
use rudderspindle_simulation::partner::*;

/// A sender beside another one, and its partner's routes at one gate.
fn with_routes(routes: std::ops::RangeInclusive<u64>, kind: u16, seed: u64) -> Bench {
    let long = Class { deadline: 60_000.0, ..class(Effect::Idempotent) };
    let mut s = settings(vec![long]);
    (s.peers_total, s.slots, s.max_attempts) = (2, 64, 100);
    let mut b = Bench::new(s, seed);
    b.step(0.0, &[list(routes.map(|r| entry(r, 0, kind, 0)).collect())]);
    b
}

fn messages(ids: std::ops::Range<u32>) -> Vec<Event> {
    let long = |event| match event {
        Event::Message(m) => Event::Message(Message { time_left: 60_000.0, ..m }),
        other => other,
    };
    ids.map(|id| long(message(id, 0, 0))).collect()
}

const OK: (Millis, Outcome, Millis) = (50.0, Outcome::Ok, 0.0);
const NO_CONNECTION: (Millis, Outcome, Millis) = (10.0, Outcome::ConnectFailed, 0.0);

/// What a partner of 10 calls a second bears of one sender of two that knows, cold for so long: calls in 3 s.
fn ramp_of_one(seconds: f64) -> f64 {
    // A part of a half, 0.66 of the multiple of 2 at which it falls, from a fifth of its capacity over 10 s.
    0.5 * 0.66 * 2.0 * 10.0 * seconds * (0.2 + 0.8 * seconds / 10.0 / 2.0)
}

/// Calls from the end of an outage on, which must be a single trial and then the ramp of one destination.
fn assert_one_trial_and_one_ramp(calls: &[Call], back: Millis, what: &str) {
    let after: Vec<&Call> = calls.iter().filter(|c| c.0 >= back).collect();
    let first = after.first().unwrap_or_else(|| panic!("{what}: nothing was sent"));
    // The trial's answer takes 50 ms: until then nothing else goes.
    let with_it = after.iter().filter(|c| c.0 < first.0 + 50.0).count();
    assert_eq!(with_it, 1, "{what}: one trial, not {with_it}: {after:?}");
    let soon = after.iter().filter(|c| c.0 < first.0 + 3_000.0).count() as f64;
    let bound = 1.0 + 1.35 * ramp_of_one(3.0);
    assert!(soon <= bound, "{what}: {soon} calls in 3 s of the return, {bound:.1} at the most");
}

#[test]
fn a_shut_wait_told_at_one_route_is_that_of_all_with_one_trial_and_one_ramp() {
    for seed in 0..20 {
        let mut b = with_routes(1..=4, 0, seed);
        let open = b.now + 9_000.0;
        let told = |now: Millis, _| if now < open { (10.0, Outcome::Rejected, open - now) } else { OK };
        let calls = play_calls(&mut b, messages(0..80), 14_000.0, &mut BTreeMap::new(), told);
        assert_one_trial_and_one_ramp(&calls, open, &format!("seed {seed}"));
    }
}

#[test]
fn an_answer_to_a_call_from_before_the_outage_proves_no_return() {
    for seed in 0..20 {
        let mut b = with_routes(1..=2, 0, seed);
        let (shut, open) = (b.now + 1_000.0, b.now + 13_000.0);
        let mut slow = true;
        let answer = |now: Millis, _| match now {
            // Sent before it shut, and answered well when others have been told.
            _ if now < shut && std::mem::take(&mut slow) => (1_400.0, Outcome::Ok, 0.0),
            _ if now < shut => OK,
            _ if now < open => (10.0, Outcome::Rejected, open - now),
            _ => OK,
        };
        let calls = play_calls(&mut b, messages(0..100), 18_000.0, &mut BTreeMap::new(), answer);
        assert_one_trial_and_one_ramp(&calls, open, &format!("seed {seed}"));
    }
}

#[test]
fn a_partner_that_refuses_connections_is_down_as_a_whole_before_each_route_has_failed_often() {
    for seed in 0..20 {
        let mut b = with_routes(1..=4, 0, seed);
        let back = b.now + 9_000.0;
        let answer = |now: Millis, _| if now < back { NO_CONNECTION } else { OK };
        let calls = play_calls(&mut b, messages(0..80), 13_000.0, &mut BTreeMap::new(), answer);
        let second = calls.iter().filter(|c| c.0 < back - 8_000.0).count();
        assert!(second <= 8, "seed {seed}: {second} calls in the first second of an outage");
        assert_one_trial_and_one_ramp(&calls, back, &format!("seed {seed}"));
        let routes: std::collections::BTreeSet<u64> =
            calls.iter().filter(|c| c.0 < back).map(|c| c.2).collect();
        assert_eq!(routes.len(), 4, "each route is asked in turn");
    }
}

#[test]
fn silence_at_most_routes_is_that_of_all() {
    for seed in 0..20 {
        let mut b = with_routes(1..=3, 0, seed);
        let back = b.now + 9_000.0;
        let answer = |now: Millis, _| if now < back { (3_000.0, Outcome::Timeout, 0.0) } else { OK };
        // One message a route at first: none of them alone is silent twice.
        let mut attempts = BTreeMap::new();
        let mut calls = play_calls(&mut b, messages(0..3), 1_500.0, &mut attempts, answer);
        calls.extend(play_calls(&mut b, messages(3..80), 11_500.0, &mut attempts, answer));
        let during = calls.iter().filter(|c| c.0 < back).count();
        assert!(during <= 12, "seed {seed}: {during} calls to a partner that is silent");
        assert_one_trial_and_one_ramp(&calls, back, &format!("seed {seed}"));
    }
}

#[test]
fn routes_that_the_list_adds_or_moves_during_an_outage_are_part_of_it() {
    let added: Vec<RouteEntry> = (1..=4).map(|r| entry(r, 0, 0, 0)).collect();
    // New ids at the address of those that have gone.
    let moved: Vec<RouteEntry> = (11..=12).map(|r| entry(r, 0, 0, 0)).collect();
    for (what, lines) in [("added", added), ("moved", moved)] {
        for seed in 0..20 {
            let mut b = with_routes(1..=2, 0, seed);
            let back = b.now + 9_000.0;
            let mut attempts = BTreeMap::new();
            let answer = |now: Millis, _| if now < back { NO_CONNECTION } else { OK };
            let mut calls = play_calls(&mut b, messages(0..80), 5_000.0, &mut attempts, answer);
            let change = vec![list(lines.clone())];
            let before = calls.len();
            calls.extend(play_calls(&mut b, change, 8_000.0, &mut attempts, answer));
            let at_once = calls[before..].iter().filter(|c| c.0 < back - 3_500.0).count();
            assert!(at_once <= 2, "{what}, seed {seed}: {at_once} calls in half a second by new routes");
            assert_one_trial_and_one_ramp(&calls, back, &format!("{what}, seed {seed}"));
        }
    }
}

#[test]
fn one_route_that_fails_beside_sound_ones_takes_none_of_them_down() {
    for failure in [NO_CONNECTION, (10.0, Outcome::Error, 0.0)] {
        for seed in 0..20 {
            let mut b = with_routes(1..=3, 0, seed);
            let answer = |_, route| if route == 2 { failure } else { OK };
            let calls = play_calls(&mut b, messages(0..60), 10_000.0, &mut BTreeMap::new(), answer);
            let done = calls.iter().filter(|c| c.2 != 2).count();
            assert!(
                done >= 45,
                "seed {seed}: {done} went by the sound routes in 10 s at a pace of 5 a second"
            );
            assert!(calls.len() - done <= 20, "seed {seed}: the one that fails went on being asked");
        }
    }
}

#[test]
fn errors_at_most_routes_leave_all_cold() {
    let mut warm = 0;
    for seed in 0..40 {
        let mut b = with_routes(1..=4, 0, seed);
        let back = b.now + 9_000.0;
        let mut draw = Draw::new(seed);
        let answer = |now: Millis, _| {
            if now < back && draw.unit() < 0.72 { (20.0, Outcome::Error, 0.0) } else { OK }
        };
        let calls = play_calls(&mut b, messages(0..90), 13_000.0, &mut BTreeMap::new(), answer);
        let soon = calls.iter().filter(|c| (back..back + 3_000.0).contains(&c.0)).count() as f64;
        // Somewhat warmer than after an outage is allowed: the last error may be long ago.
        warm += usize::from(soon > 2.0 + 1.35 * ramp_of_one(3.0));
    }
    assert!(warm <= 2, "{warm} of 40 were sent to as if nothing had been");
}

#[test]
fn refusals_alone_for_longer_than_a_limit_lasts_are_an_outage_and_a_limit_is_none() {
    let mut at_the_limit = 0;
    for seed in 0..20 {
        let mut b = with_routes(1..=2, 0, seed);
        let open = b.now + 9_000.0;
        let untold = |now: Millis, _| if now < open { (10.0, Outcome::Rejected, 0.0) } else { OK };
        let calls = play_calls(&mut b, messages(0..80), 13_000.0, &mut BTreeMap::new(), untold);
        assert_one_trial_and_one_ramp(&calls, open, &format!("seed {seed}"));
        // One call of each second is let in: a limit that others use up, not an outage.
        let mut b = with_routes(1..=2, 0, seed);
        let mut let_in = 0;
        let limit = |now: Millis, _| {
            let second = (now / 1_000.0) as u64;
            if second != let_in {
                let_in = second;
                return OK;
            }
            (10.0, Outcome::Rejected, 0.0)
        };
        let calls = play_calls(&mut b, messages(0..80), 9_000.0, &mut BTreeMap::new(), limit);
        at_the_limit += calls.len();
    }
    assert!(
        at_the_limit >= 20 * 18,
        "{at_the_limit} calls in 20 times 9 s where one in each second is let in"
    );
}

#[test]
fn a_sender_that_begins_anew_goes_on_with_the_outage_that_its_host_remembers() {
    for (kind, scope) in [(0, None), (1, Some(RouteId(1)))] {
        for seed in 0..20 {
            // Down within a told wait: it is heeded, and one trial asks when it is over.
            let mut b = with_routes(1..=1, kind, seed);
            let (open, destination) = (b.now + 4_000.0, DestinationId(0));
            let remembered = |outage| Event::Remembered { destination, route: scope, outage };
            let mut first = vec![remembered(OutageState::Down { wait: 4_000.0 })];
            first.extend(messages(0..80));
            let calls = play_calls(&mut b, first, 9_000.0, &mut BTreeMap::new(), |_, _| OK);
            assert!(calls.iter().all(|c| c.0 >= open), "seed {seed}: sent within the wait");
            assert_one_trial_and_one_ramp(&calls, open, &format!("kind {kind}, seed {seed}"));
            // Cold for 1 s: it goes on with the ramp.
            let mut b = with_routes(1..=1, kind, seed);
            let now = b.now;
            let mut first = vec![remembered(OutageState::WarmingUp { ago: 1_000.0, part: 0.5 })];
            first.extend(messages(0..80));
            let calls = play_calls(&mut b, first, 2_000.0, &mut BTreeMap::new(), |_, _| OK);
            let bound = 1.0 + 1.35 * (ramp_of_one(3.0) - ramp_of_one(1.0));
            assert!((calls.len() as f64) <= bound, "kind {kind}, seed {seed}: {} after {now}", calls.len());
        }
    }
}

#[test]
fn what_is_to_be_remembered_is_told_once_for_each_change() {
    let mut b = with_routes(1..=2, 0, 5);
    let mut told = Vec::new();
    let mut note = |actions: Vec<Action>| {
        for action in &actions {
            if let Action::Remember { destination, route, outage } = action {
                assert_eq!((*destination, *route), (DestinationId(0), None), "routes that share a gate");
                told.push(*outage);
            }
        }
        sends(&actions)
    };
    let first = note(b.step(5.0, &messages(0..3)));
    assert!(!first.is_empty());
    for (n, &(id, _)) in first.iter().enumerate() {
        note(b.step(1.0, &[outcome(id, 0, Outcome::Rejected, 9_000.0 - n as f64)]));
    }
    note(b.step(1_000.0, &[]));
    let mut trial = Vec::new();
    while trial.is_empty() {
        trial = note(b.step(50.0, &[]));
    }
    let attempt = u32::from(first.iter().any(|f| f.0 == trial[0].0));
    note(b.step(50.0, &[outcome(trial[0].0, attempt, Outcome::Ok, 0.0)]));
    assert!(matches!(told[0], OutageState::Down { wait } if wait == 9_000.0), "{told:?}");
    let cold = told.last().expect("it came back");
    assert!(matches!(cold, OutageState::WarmingUp { ago, part } if *ago == 0.0 && *part == 0.5), "{told:?}");
    assert!(told.len() <= 1 + first.len(), "{told:?}");
}

#[test]
fn where_routes_are_apart_each_has_its_own_outage() {
    let mut b = with_routes(1..=2, 1, 3);
    let open = b.now + 9_000.0;
    let answer = |now: Millis, route| {
        if route == 1 && now < open { (10.0, Outcome::Rejected, open - now) } else { OK }
    };
    let calls = play_calls(&mut b, messages(0..60), 6_000.0, &mut BTreeMap::new(), answer);
    let second = calls.iter().filter(|c| c.2 == 2).count();
    assert!(second >= 25, "{second} by the other route in 6 s at a pace of 5 a second");
    assert_eq!(calls.iter().filter(|c| c.2 == 1 && c.0 > open - 8_500.0).count(), 0);
}

#[test]
fn senders_that_were_told_the_same_wait_do_not_ask_at_the_same_instant() {
    // Eight senders of a partner of 10 a second that is back at a fifth of it: 2.6 a second are a ramp's begin.
    let mut first = Vec::new();
    for seed in 0..40 {
        let mut b = with_routes(1..=2, 0, seed);
        let open = b.now + 9_000.0;
        let told = |now: Millis, _| if now < open { (10.0, Outcome::Rejected, open - now) } else { OK };
        let calls = play_calls(&mut b, messages(0..40), 12_000.0, &mut BTreeMap::new(), told);
        first.extend(calls.iter().map(|c| c.0 - open).find(|&at| at >= 0.0));
    }
    first.sort_by(f64::total_cmp);
    assert_eq!(first.len(), 40, "each asked");
    // A part of a half: one call in 758 ms; trials are spread evenly over that.
    assert!(first[39] <= 790.0 && first[20] >= 200.0, "{first:?}");
    let together = first.windows(14).filter(|w| w[13] - w[0] < 100.0).count();
    assert_eq!(together, 0, "more than a third within a tenth of a second: {first:?}");
}

/// Scenes of each kind, drawn; their ratios in order, the hardest push last.
fn ratios(scenes: u64, outage: fn(f64) -> Outage, change: impl Fn(&mut Scene)) -> Vec<(f64, u64)> {
    let mut all: Vec<(f64, u64)> = (0..scenes)
        .map(|seed| {
            let mut scene = Scene::draw(seed, outage);
            change(&mut scene);
            (play(&scene).worst, seed)
        })
        .collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// At most 1.8 times what a returning partner can then do, but for one scene in fifty; never what pushes it over.
fn assert_gentle(what: &str, all: &[(f64, u64)]) {
    let (hardest, seed) = all[all.len() - 1];
    let usual = all[all.len() * 49 / 50].0;
    assert!(hardest < 2.5, "{what}: {hardest:.2} times what it can do pushes it over (seed {seed})");
    assert!(usual <= 1.8, "{what}: {usual:.2} times what it can do in one scene of fifty");
}

type Kind = (&'static str, fn(f64) -> Outage);

const KINDS: [Kind; 6] = [
    ("shut and told", |_| Outage::Shut { tells: 1.0 }),
    ("shut and seldom told", |u| Outage::Shut { tells: u * 0.56 }),
    ("shut and untold", |_| Outage::Shut { tells: 0.0 }),
    ("refused", |_| Outage::Refuse),
    ("errors", |u| Outage::Errors { share: 0.6 + 0.36 * u }),
    ("silent", |_| Outage::Silent),
];

#[test]
fn nobody_who_returns_is_pushed_in_scenes_of_every_kind() {
    for (what, outage) in KINDS {
        assert_gentle(what, &ratios(100, outage, |_| {}));
    }
}

#[test]
fn nor_by_a_sender_that_begins_anew_within_a_wait_or_after_it() {
    for (what, outage) in KINDS {
        for after in [-2_000.0, 200.0, 1_500.0] {
            let all = ratios(60, outage, |scene| scene.restart = Some((0..1, scene.until + after)));
            let what = format!("{what}, a sender restarted {after} ms after");
            if matches!(outage(0.0), Outage::Errors { .. }) {
                // How much it errs is not remembered, only that it was cold: less gentle, and still not too much.
                assert!(all[all.len() - 1].0 < 2.5, "{what}: {:?}", all[all.len() - 1]);
            } else {
                assert_gentle(&what, &all);
            }
        }
    }
}

#[test]
fn nor_by_routes_that_the_list_adds_meanwhile() {
    for (what, outage) in &KINDS[..4] {
        let change = |scene: &mut Scene| {
            scene.added = Some((2, scene.until - 1_000.0));
            scene.struck = 0..scene.routes + 2;
        };
        assert_gentle(&format!("{what}, routes added"), &ratios(100, *outage, change));
    }
}
