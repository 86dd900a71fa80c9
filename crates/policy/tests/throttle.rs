//! The ordinary path: draws, diversion, order, and the failures found on the bench.

mod common;

use std::collections::BTreeMap;

use common::*;
use rudderspindle_policy::interface::*;

/// Answers every call `after` ms later with what `answer` says, for `span` ms; returns the calls by route.
fn play(
    b: &mut Bench,
    first: Vec<Event>,
    span: Millis,
    answer: impl Fn(u32, u64) -> (Millis, Outcome),
) -> Vec<Call> {
    let mut calls = 0;
    play_calls(b, first, span, &mut BTreeMap::new(), |_, route| {
        let (after, seen) = answer(calls, route);
        calls += 1;
        (after, seen, 0.0)
    })
}

fn safe() -> Settings {
    settings(vec![class(Effect::Idempotent)])
}

#[test]
fn no_count_no_drop() {
    // (0 - 1.5 * 0) / (0 + 1) = 0: the first call always goes.
    for seed in 0..50 {
        let mut b = Bench::new(safe(), seed);
        let done = b.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
        assert_eq!(sends(&done), [(1, 1)], "seed {seed}");
    }
}

#[test]
fn refusals_known_raise_the_drop_share_as_the_formula_says_and_age_out() {
    // Three calls refused, none accepted: p = (3 - 0) / (3 + 1) = 0.75 for the next one. While they are
    // still out, and once they have left the window, p = 0.
    let share = |pending: bool, later: Millis| {
        let mut sent = 0;
        for seed in 0..400 {
            let mut b = Bench::new(safe(), seed);
            b.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
            for i in 0..3 {
                assert_eq!(sends(&b.step(250.0, &[message(i, 0, 0)])), [(i, 1)]);
            }
            let mut answers = Vec::new();
            if !pending {
                answers.extend((0..3).map(|i| outcome(i, 0, Outcome::Rejected, 0.0)));
                answers.extend((0..3).map(|i| Event::Dropped(MessageHandle(i))));
            }
            b.step(10.0, &answers);
            // Long enough for the pause to be over, not for the next.
            let done = b.step(later, &[message(9, 0, 0)]);
            sent += sends(&done).len();
        }
        f64::from(sent as u32) / 400.0
    };
    let soon = share(false, 500.0);
    assert!((0.18..0.32).contains(&soon), "a quarter should go, {soon} did");
    assert_eq!(share(true, 500.0), 1.0, "a call that is out counts nowhere yet");
    assert_eq!(share(false, 21_000.0), 1.0, "counts age out of the window, a long one while they are few");
}

#[test]
fn a_message_turned_away_by_its_draw_goes_to_another_route_before_it_waits() {
    let mut diverted = 0;
    for seed in 0..100 {
        let mut b = Bench::new(safe(), seed);
        // Route 1 stands in the sender's zone and is preferred; route 2 is apart and farther.
        b.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)])]);
        assert_eq!(sends(&b.step(5.0, &[message(1, 0, 0)])), [(1, 1)]);
        b.step(5.0, &[outcome(1, 0, Outcome::Rejected, 0.0), Event::Dropped(MessageHandle(1))]);
        let done = sends(&b.step(500.0, &[message(2, 0, 0)]));
        assert_eq!(done.len(), 1, "one of the two takes it at once");
        diverted += usize::from(done[0].1 == 2);
    }
    // p = (1 - 0) / (1 + 1) = 0.5 at route 1.
    assert!((35..=65).contains(&diverted), "{diverted} of 100 were diverted");
}

#[test]
fn what_loses_most_by_waiting_goes_first() {
    let dear = Class { value: 3.0, ..class(Effect::Idempotent) };
    let mut b = Bench::new(settings(vec![class(Effect::Idempotent), dear]), 1);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..10).map(|i| message(i, 0, 0)));
    events.extend((10..20).map(|i| message(i, 1, 0)));
    // All have waited past the start of their aim's last stretch when the route opens.
    let calls = play(&mut b, events, 4_000.0, |_, _| (50.0, Outcome::Ok));
    let late: Vec<u32> = calls.iter().skip(5).take(5).map(|c| c.1).collect();
    assert!(late.iter().all(|&id| id >= 10), "cheap messages went before dear ones: {calls:?}");
}

#[test]
fn a_message_is_one_request_however_often_it_draws() {
    // ib88e68: each redraw of a parked message counted as a request, and the drop share crept to one.
    // Three failed: the first draw fails with 3/4, each further one with 4/5, so ten let 90% through; were
    // each drop counted, they would fail with 3/4, 4/5, 5/6 and so on, and let 77% through.
    let mut sent = 0;
    for seed in 0..400 {
        let mut b = Bench::new(safe(), seed);
        b.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
        for i in 0..3 {
            b.step(250.0, &[message(i, 0, 0)]);
        }
        // Failed connections count like refusals and leave the pace as it is.
        let failed = (0..3)
            .flat_map(|i| [outcome(i, 0, Outcome::ConnectFailed, 0.0), Event::Dropped(MessageHandle(i))]);
        b.step(10.0, &failed.collect::<Vec<_>>());
        let mut done = b.step(500.0, &[message(9, 0, 0)]);
        for _ in 0..120 {
            done.extend(b.step(10.0, &[]));
        }
        sent += sends(&done).len();
    }
    assert!(sent >= 340, "{sent} of 400 went within ten draws");
}

#[test]
fn trials_keep_to_a_part_of_the_rate_that_all_senders_share() {
    // lakeshore big-2: trials of four senders used up a limit that counts refused calls.
    let mut s = safe();
    s.peers_total = 4;
    let mut b = Bench::new(s, 5);
    let line = RouteEntry { rate: 4.0, ..entry(1, 0, 0, 0) };
    let mut events = vec![list(vec![line])];
    events.extend((0..50).map(|i| message(i, 0, 0)));
    let first = sends(&b.step(0.0, &events));
    b.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    // A wait that long comes from a route that is shut: from its end on there are trials only.
    let calls = play(&mut b, vec![], 8_600.0, |_, _| (30.0, Outcome::ConnectFailed));
    assert!((1..=5).contains(&calls.len()), "{} trials in 6 s, our part is 6 calls", calls.len());
}

#[test]
fn after_a_told_wait_there_is_no_burst() {
    // if28a67: at the end of a wait all sent what they had saved up and were refused again.
    let mut b = Bench::new(safe(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..20).map(|i| message(i, 0, 0)));
    b.step(0.0, &events);
    b.step(50.0, &[outcome(0, 0, Outcome::Rejected, 1_500.0)]);
    assert!(sends(&b.run(1_480.0)).is_empty());
    for _ in 0..60 {
        let sent = sends(&b.step(10.0, &[])).len();
        assert!(sent <= 1, "{sent} calls at once after a wait");
    }
}

#[test]
fn a_returning_destination_is_not_pushed_over() {
    // Cold it does at least 0.2 of 10 calls a second, and falls over above twice that kept up for 3 s.
    let mut b = Bench::new(safe(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..90).map(|i| message(i, 0, 0)));
    let first = sends(&b.step(0.0, &events));
    b.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    let calls = play(&mut b, vec![], 9_000.0, |_, _| (50.0, Outcome::Ok));
    let back = calls[0].0;
    let early = calls.iter().filter(|c| c.0 <= back + 3_000.0).count();
    assert!((4..=12).contains(&early), "{early} calls in the first 3 s, 12 are the budget");
}

#[test]
fn one_of_three_hundred_senders_delivers_messages_well_within_their_time() {
    // gandhinagar-camp-later: the equal part of 3 calls a second is one in 100 s, second messages died waiting.
    let mut s = safe();
    s.peers_total = 300;
    for seed in 0..20 {
        let mut b = Bench::new(s.clone(), seed);
        let line = RouteEntry { rate: 3.0, ..entry(1, 0, 0, 0) };
        let events = vec![list(vec![line]), message(0, 0, 0), message(1, 0, 0)];
        let calls = play(&mut b, events, 7_000.0, |_, _| (50.0, Outcome::Ok));
        assert_eq!(calls.len(), 2, "{calls:?}");
    }
}

#[test]
fn one_of_three_hundred_senders_backs_off_from_a_partner_that_refuses_all() {
    // taichung-senders-later: a limit that counts refused calls stays used up while all try again soon.
    let mut s = safe();
    s.peers_total = 300;
    let mut calls = 0;
    for seed in 0..20 {
        let mut b = Bench::new(s.clone(), seed);
        let line = RouteEntry { rate: 3.0, ..entry(1, 0, 0, 0) };
        calls +=
            play(&mut b, vec![list(vec![line]), message(1, 0, 0)], 9_500.0, |_, _| (50.0, Outcome::Rejected))
                .len();
    }
    assert!((20..=60).contains(&calls), "{calls} calls for 20 messages, each refused for 9.5 s");
}

#[test]
fn a_failure_of_late_sends_the_next_call_to_a_sister_route() {
    // i64c682: a sender of few calls went back to the route that had just failed, four times over.
    let mut b = Bench::new(safe(), 5);
    b.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)])]);
    assert_eq!(sends(&b.step(5.0, &[message(1, 0, 0)])), [(1, 1)]);
    let mut done = b.step(50.0, &[outcome(1, 0, Outcome::ConnectFailed, 0.0)]);
    done.extend(b.run(1_000.0));
    assert_eq!(sends(&done), [(1, 2)]);
    b.step(50.0, &[outcome(1, 1, Outcome::Ok, 0.0)]);
    assert_eq!(
        sends(&b.step(21_000.0, &[message(2, 0, 0)])),
        [(2, 1)],
        "the near route is tried again later"
    );
}

/// What overshot once held hundreds of messages back with slots free until they had expired: the pace fell to a
/// small part of what was told, and window and recovery took longer than a message lives.
#[test]
fn after_a_burst_of_refusals_a_gate_is_near_its_part_again_well_within_a_deadline() {
    let mut delivered = 0;
    for seed in 0..20 {
        let mut b = Bench::new(safe(), seed);
        let mut first = vec![list(vec![entry(1, 0, 0, 0)])];
        first.extend((0..80).map(|n| message(n, 0, 0)));
        let calls = play(&mut b, first, 8_000.0, |call, _| {
            (100.0, if (2..12).contains(&call) { Outcome::Rejected } else { Outcome::Ok })
        });
        delivered += calls.len().saturating_sub(10);
    }
    // The told rate is 10 calls a second, and all of it is this sender's.
    assert!(delivered > 20 * 15, "{delivered} in 20 times 8 s");
}

/// Calls out at a busy destination once one call hangs; with `heard`, others sent later were answered.
fn out_beside_a_hung_call(heard: bool) -> usize {
    let settings = Settings { slots: 6, ..safe() };
    let mut b = Bench::new(settings, 1);
    let hot = RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) };
    b.step(0.0, &[list(vec![hot])]);
    assert_eq!(sends(&b.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    if heard {
        for n in 1..4 {
            assert_eq!(sends(&b.step(200.0, &[message(n, 0, 0)])).len(), 1);
            b.step(100.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
        }
    }
    let wait = if heard { 500.0 } else { 1_400.0 };
    let mut sent = sends(&b.step(wait, &(10..30).map(|n| message(n, 0, 0)).collect::<Vec<_>>())).len();
    // Draws are paced; no answer comes meanwhile.
    for _ in 0..20 {
        sent += sends(&b.step(5.0, &[])).len();
    }
    1 + sent
}

/// A connection that falls silent hangs one call. Beside answered ones it took most of the slots from its partner.
#[test]
fn a_call_lost_by_itself_takes_no_slots_from_its_destination_and_a_silent_one_does() {
    assert_eq!(out_beside_a_hung_call(true), 5);
    assert_eq!(out_beside_a_hung_call(false), 3);
}

/// Two processes of one sender have its slots between them.
#[test]
fn slots_that_another_process_uses_are_not_ours() {
    let settings = Settings { slots: 6, ..safe() };
    let mut b = Bench::new(settings, 1);
    let hot = |n| RouteEntry { rate: 1_000.0, ..entry(u64::from(n) + 1, n, 0, 0) };
    b.sender.share_slots(4);
    let messages: Vec<Event> = (0..6).map(|n| message(n, 0, n as u16)).collect();
    b.step(0.0, &[list((0..6).map(hot).collect())]);
    assert_eq!(sends(&b.step(1_000.0, &messages)).len(), 2);
    b.sender.share_slots(0);
    assert_eq!(sends(&b.step(1_000.0, &[message(9, 0, 0)])).len(), 4);
    // Ours even if the other one has them all: or what is held here would starve.
    b.sender.share_slots(6);
    let answers: Vec<Event> = (0..6).map(|n| outcome(n, 0, Outcome::Ok, 0.0)).collect();
    assert_eq!(sends(&b.step(5.0, &answers)), [(9, 1)]);
    assert_eq!(sends(&b.step(1_000.0, &[message(20, 0, 0), message(21, 0, 1)])), []);
}

/// What is called off once one call of two hangs and `answered` later ones were answered; at the end a message waits,
/// and both slots are taken if `full`.
fn called_off(answered: u32, full: bool, effect: Effect) -> Vec<Action> {
    let settings =
        Settings { slots: if full { 2 } else { 9 }, cancelling: true, ..settings(vec![class(effect)]) };
    let mut b = Bench::new(settings, 1);
    b.step(0.0, &[list(vec![RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) }])]);
    assert_eq!(sends(&b.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    for n in 1..=answered {
        assert_eq!(sends(&b.step(50.0, &[message(n, 0, 0)])).len(), 1, "message {n}");
        b.step(50.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let left = 1_400.0 - f64::from(answered) * 100.0;
    let mut done = b.step(left, &[message(20, 0, 0)]);
    done.extend(b.step(5.0, &[message(21, 0, 0)]));
    done.extend(b.step(5.0, &[message(22, 0, 0)]));
    done.retain(|action| matches!(action, Action::Cancel { .. }));
    done
}

#[test]
fn a_call_lost_by_itself_is_called_off_once_when_its_slot_is_wanted_and_only_then() {
    let lost = Action::Cancel { id: MessageHandle(0), attempt: 0 };
    assert_eq!(called_off(10, true, Effect::Idempotent), [lost]);
    assert_eq!(called_off(10, false, Effect::Idempotent), []);
    assert_eq!(called_off(9, true, Effect::Idempotent), []);
    // One that must not be repeated gains nothing by it.
    assert_eq!(called_off(10, true, Effect::NotIdempotent), []);
}

/// What notes leave to a sender, for each call that it wants.
fn room(calls: f64) -> Event {
    Event::Capacity { destination: DestinationId(0), route: None, calls, wanted: 0.0, lasts: 20_000.0 }
}

/// Nothing waits, and yet it wants what will come within the half second until the next notes.
#[test]
fn what_will_come_before_the_next_word_is_wanted_too() {
    let mut b = Bench::new(safe(), 1);
    b.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), room(f64::INFINITY)]);
    for n in 0..30 {
        b.step(100.0, &[message(n, 0, 0)]);
        b.step(0.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let wanted = b.sender.demands()[0].wanted;
    assert!((4.0..6.0).contains(&wanted), "{wanted} wanted of ten a second that come");
    b.step(5_000.0, &[]);
    assert!(b.sender.demands()[0].wanted < 0.1);
}

/// All who were told a wait come back when it ends: each takes the turn that notes leave to it.
#[test]
fn after_a_told_wait_a_sender_takes_the_turn_that_notes_leave_it() {
    for (calls, after) in [(0.25, 1_600.0..5_700.0), (1.0, 400.0..1_500.0)] {
        for seed in 0..20 {
            let mut b = Bench::new(safe(), seed);
            b.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), room(f64::INFINITY), message(1, 0, 0)]);
            b.step(10.0, &[room(calls), outcome(1, 0, Outcome::Rejected, 1_000.0)]);
            let over = b.now + 1_000.0;
            // The refusal halved what that word left; this is the next one.
            b.step(250.0, &[room(calls)]);
            let sent = sends(&b.run(9_000.0));
            let later = b.now - over;
            assert!(sent == [(1, 1)] && after.contains(&later), "{calls} a second: sent {later} ms after it");
        }
    }
}
