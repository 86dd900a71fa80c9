//! Senders that are silent, gone or back, and storms that no sender sees alone.

mod world;

use rudderspindle_heavy_hitters::{HotError, Hottest, Key, Settings, adders};
use world::{BEGIN_MS, STEP_MS, World, Zipf};

const STORM: Key = Key::new(1 << 20);

fn settings() -> Settings {
    Settings { most_per_second: 40, ..Settings::default() }
}

/// Hands each sender so many messages a second of a hundred even streams, and so many of the storm to those chosen.
fn hand_in(world: &mut World, base: f64, storm: f64, chosen: impl Fn(usize) -> bool) {
    let a_step = STEP_MS as f64 / 1_000.0;
    for to in 0..world.senders.len() {
        if world.chance() < base * a_step {
            let stream = Key::new((world.chance() * 100.0) as u64);
            world.hand_in(to, stream, None);
        }
        if chosen(to) && world.chance() < storm * a_step {
            world.hand_in(to, STORM, None);
        }
    }
}

#[test]
fn a_stream_that_is_hot_only_in_sum_is_found_by_all() {
    let mut world = World::new(5, 300, settings(), BEGIN_MS);
    world.run(12_000, |world| hand_in(world, 1.2, 0.0, |_| true));
    assert_eq!(world.found(STORM), 0);
    // 0.3 calls a second at each: 0.6 in a pane, a fifth of all.
    world.run(12_000, |world| hand_in(world, 1.2, 0.3, |_| true));
    assert_eq!((world.found(STORM), world.check()), (300, 300));
}

#[test]
fn a_stream_that_is_hot_at_a_single_sender_is_found_by_all() {
    let settings = Settings { most_per_second: 200, ..settings() };
    let mut world = World::new(6, 60, settings, BEGIN_MS);
    // Sender 7 is handed 90 a second of it, the others 5 a second of other streams: three of a dozen.
    world.run(12_000, |world| hand_in(world, 5.0, 90.0, |to| to == 7));
    assert_eq!((world.found(STORM), world.check()), (60, 60));
}

#[test]
fn half_of_the_senders_silent_makes_no_stream_hot_and_none_cease_to_be() {
    let mut world = World::new(7, 100, settings(), BEGIN_MS);
    // A quarter of all is the storm's.
    world.run(14_000, |world| hand_in(world, 9.0, 3.0, |_| true));
    let hot: Vec<Vec<Key>> = world.senders.iter().map(|sender| sender.hot().collect()).collect();
    assert!(hot.iter().all(|hot| *hot == [STORM]));
    world.deaf = (0..100).step_by(2).collect();
    let quiet = Key::new(1 << 21);
    // Beside it one that is a fifth of what those still heard are handed, and a fiftieth of what may be.
    for _ in 0..30_000 / STEP_MS {
        world.step(|world| {
            hand_in(world, 9.0, 3.0, |_| true);
            if world.chance() < 0.2 {
                world.hand_in(1, quiet, None);
            }
        });
        assert_eq!((world.found(STORM), world.found(quiet)), (100, 0));
    }
    world.check();
    // A sender that hears nothing judges by what it heard, and not by its own sketch.
    assert!(world.senders[0].view().is_some_and(|view| view.panes().end < world.now / 2_000 - 10));
    // They come back, and the storm goes on.
    world.deaf.clear();
    world.run(14_000, |world| hand_in(world, 9.0, 3.0, |_| true));
    assert_eq!((world.found(STORM), world.check()), (100, 100));
    // It ends; a window later nobody has it for hot.
    world.run(26_000, |world| hand_in(world, 9.0, 0.0, |_| true));
    assert_eq!(world.found(STORM), 0);
}

#[test]
fn a_sender_that_restarts_in_the_middle_of_a_pane_is_replaced_and_the_truth_holds() {
    let zipf = Zipf::new(50, 1.1);
    let mut world = World::new(8, 20, settings(), BEGIN_MS);
    world.lost = 0.2;
    let mut handed = |world: &mut World| {
        for to in 0..20 {
            if world.chance() < 0.2 {
                let point = world.chance();
                world.hand_in(to, zipf.stream(point), None);
            }
        }
    };
    world.run(11_000, &mut handed);
    let mut incarnation = 1;
    for round in 0..30 {
        incarnation += 1;
        let me = round % 20;
        let born = Hottest::new(settings(), me, 20, incarnation, world.now, false).expect("they are right");
        world.senders[me] = born;
        world.run(1_300, &mut handed);
        // Views go on holding what the life before was handed, too. Who has just begun may have none yet.
        assert!(world.check() > 15);
    }
    // All that was ever told comes again, also to lives that had not heard it: the truth holds, and once more is nothing.
    let mut replayed = || {
        for (from, to, bytes) in world.taped.clone() {
            let _ = world.senders[to].hear(world.now, from, &bytes);
        }
        assert!(world.check() > 15);
        world.senders.iter().map(|sender| format!("{sender:?}")).collect::<Vec<_>>()
    };
    assert_eq!(replayed(), replayed());
    world.run(4_000, &mut handed);
    assert_eq!(world.check(), 20);
}

#[test]
fn an_adder_that_is_gone_costs_a_second_once() {
    let mut world = World::new(9, 60, settings(), BEGIN_MS);
    world.run(11_000, |world| hand_in(world, 9.0, 0.0, |_| true));
    let gone = adders(world.now / 2_000, 60)[0];
    world.deaf.insert(gone);
    // Into the next pane by 1.4 s: the second has been asked after a second. From then on it is asked at once.
    for into in [2_400, 900 + 600, 2_000, 2_000] {
        world.run(into, |world| hand_in(world, 9.0, 0.0, |_| true));
        let open = world.now / 2_000;
        let fresh = |(n, sender): (usize, &Hottest)| {
            n == gone || sender.view().is_some_and(|view| view.panes().end == open)
        };
        assert!(world.senders.iter().enumerate().all(fresh), "{into}");
    }
    assert_eq!(world.check(), 60);
}

#[test]
fn a_sender_that_missed_the_answers_of_a_pane_reads_in_the_next_what_all_have_told() {
    let mut world = World::new(12, 60, settings(), BEGIN_MS);
    world.run(12_000, |world| hand_in(world, 9.0, 0.0, |_| true));
    let drawn = adders(world.now / 2_000, 60);
    let cut = (0..60).find(|n| !drawn.contains(n)).expect("three are drawn");
    world.deaf.insert(cut);
    world.run(2_000, |world| hand_in(world, 9.0, 0.0, |_| true));
    world.deaf.clear();
    world.run(1_500, |world| hand_in(world, 9.0, 0.0, |_| true));
    let view = world.senders[cut].view().expect("answers came");
    assert_eq!(view.panes().end, world.now / 2_000);
    assert!(view.heard().0 >= 298, "{:?} heard", view.heard());
}

#[test]
fn an_adder_that_begins_its_term_is_told_the_whole_window() {
    // The next term begins 20 panes on.
    let mut world = World::new(11, 60, settings(), BEGIN_MS);
    world.lost = 0.2;
    world.run(40_000, |world| hand_in(world, 9.0, 0.0, |_| true));
    let (before, after) = (world.now / 2_000 - 1, world.now / 2_000);
    assert_ne!(adders(before, 60)[0], adders(after, 60)[0]);
    // In its first pane by those who have told in time, a pane later by nearly all.
    for (panes, part) in [(0, 90), (1, 99)] {
        world.run(1_900 + 100 * panes, |world| hand_in(world, 9.0, 0.0, |_| true));
        for sender in &world.senders {
            let view = sender.view().expect("answers came");
            let (heard, of) = view.heard();
            assert_eq!(view.panes().end, after + panes);
            assert!(heard * 100 >= of * part, "{heard} of {of}");
        }
    }
    assert_eq!(world.check(), 60);
}

#[test]
fn a_key_that_many_senders_are_handed_is_told_by_all_until_a_window_later() {
    let mut world = World::new(10, 40, settings(), BEGIN_MS);
    let (again, once) = (Key::new(1 << 30), Key::new(1 << 31));
    let mut next = 1 << 32;
    let mut handed = |world: &mut World, comes: bool| {
        for to in 0..40 {
            if world.chance() < 0.03 {
                next += 1;
                world.hand_in(to, Key::new(1), Some(Key::new(next)));
            }
            // A client that comes again once in two seconds, at whatever sender.
            if comes && world.chance() < 0.005 {
                world.hand_in(to, Key::new(2), Some(again));
            }
        }
    };
    world.run(2_000, |world| handed(world, false));
    world.hand_in(3, Key::new(2), Some(once));
    world.run(7_000, |world| handed(world, true));
    let now = world.now;
    let told = |sender: &Hottest, key| sender.is_repeated(key, now);
    assert!(world.senders.iter().all(|sender| told(sender, again).is_some_and(|r| r.senders > 10)));
    assert!(world.senders.iter().all(|sender| told(sender, once).is_none()));
    world.run(14_000, |world| handed(world, false));
    let now = world.now;
    assert!(world.senders.iter().all(|sender| sender.is_repeated(again, now).is_none()));
}

#[test]
fn notes_of_strangers_of_other_times_and_damaged_ones_are_refused_without_a_panic() {
    let mut world = World::new(13, 20, settings(), BEGIN_MS);
    world.run(13_000, |world| hand_in(world, 9.0, 3.0, |_| true));
    let (now, drawn) = (world.now, adders(world.now / 2_000, 20));
    // The first byte is the kind: a digest or an answer.
    let last =
        |kind| world.taped.iter().rfind(|(_, _, bytes)| bytes[0] == kind).expect("both were sent").clone();
    let (digest, answer) = (last(0), last(1));
    let other = (0..20).find(|n| !drawn.contains(n)).expect("three are drawn");
    let reader = (0..20).rfind(|n| !drawn.contains(n)).expect("three are drawn");
    let hear = |at, to: usize, from, bytes: &[u8]| world.senders[to].clone().hear(at, from, bytes);
    assert_eq!(hear(now, reader, answer.0, &answer.2), Ok(()));
    assert_eq!(hear(now, reader, other, &answer.2), Err(HotError::Stranger));
    assert_eq!(hear(now, reader, reader, &answer.2), Err(HotError::Stranger));
    assert_eq!(hear(now, reader, 20, &answer.2), Err(HotError::Stranger));
    assert_eq!(hear(now, reader, digest.0, &digest.2), Err(HotError::Stranger));
    assert_eq!(hear(now + 60_000, reader, answer.0, &answer.2), Err(HotError::Pane));
    assert_eq!(hear(now - 60_000, reader, answer.0, &answer.2), Err(HotError::Pane));
    for (from, to, bytes) in [digest, answer] {
        let mut refused = 0;
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut damaged = bytes.clone();
                damaged[at] ^= 1 << bit;
                let mut sender = world.senders[to].clone();
                refused += usize::from(sender.hear(now, from, &damaged).is_err());
                // What passes for sound is read, told on and judged.
                let _ = (sender.notes_due(now + 10_000), sender.is_repeated(Key::new(1), u64::MAX));
                assert!(sender.hot().count() <= 10);
            }
            assert!(world.senders[to].clone().hear(now, from, &bytes[..at]).is_err(), "cut at {at}");
        }
        // Most change a key or a count to another one: it is for the envelope's checksum to see that.
        assert!(refused > 0, "of {} damages", bytes.len() * 8);
    }
}
