//! What makes a stream hot, and what ends it: views built by hand.

use proptest::prelude::*;
use rudderspindle_heavy_hitters::{
    Answer, Heaviest, Judge, Key, PANES, Settings, Sum, View, Yours, repeated,
};

const SENDERS: usize = 10;

/// A view in which each stream has between so many and so many of 1,000 messages; so many senders were silent in one pane.
fn view(pane: u64, streams: &[(u64, u64, u64)], silent: u16) -> View {
    let sum = |&(key, least, most): &(u64, u64, u64)| {
        let spread = most - least;
        Sum { key: Key::new(key), least, spread, senders: 1 }
    };
    let answer = Answer {
        pane,
        round: 3,
        yours: Yours::default(),
        heard: [SENDERS as u16 - silent, 10, 10, 10, 10],
        total: 1_000,
        streams: Heaviest { sums: streams.iter().map(sum).collect(), left_out: 5 },
        keys: Heaviest::default(),
    };
    let settings = Settings { most_per_second: 100, ..Settings::default() };
    View::read(answer, SENDERS, &settings).expect("nobody was heard twice")
}

fn judge(views: &[View]) -> Judge {
    let mut judge = Judge::new(0.1);
    for view in views {
        judge.rise(view);
        judge.settle(view);
    }
    judge
}

#[test]
fn a_stream_is_hot_once_its_least_is_over_the_part_of_the_most_of_all() {
    assert!(!judge(&[view(10, &[(1, 100, 900)], 0)]).is_hot(Key::new(1)), "its least is not over");
    assert!(judge(&[view(10, &[(1, 101, 101)], 0)]).is_hot(Key::new(1)));
    // One sender silent for a pane of 2 s may have been handed 200 more.
    assert!(!judge(&[view(10, &[(1, 119, 119)], 1)]).is_hot(Key::new(1)));
    assert!(judge(&[view(10, &[(1, 121, 121)], 1)]).is_hot(Key::new(1)));
}

#[test]
fn a_stream_around_the_part_does_not_flap_and_ends_a_window_after_it_is_under_half_of_it() {
    let mut views = vec![view(10, &[(1, 110, 110)], 0)];
    // To and fro between the part and half of it, longer than a window.
    views.extend((11..40).map(|pane| view(pane, &[(1, 60 + pane % 2 * 30, 100)], 0)));
    assert!(judge(&views).is_hot(Key::new(1)));
    // Now under, but once above just before the window is full.
    views.extend((40..44).map(|pane| view(pane, &[(1, 10, 49)], 0)));
    views.push(view(44, &[(1, 10, 51)], 0));
    views.extend((45..50).map(|pane| view(pane, &[(1, 10, 49)], 0)));
    assert!(judge(&views).is_hot(Key::new(1)));
    views.push(view(50, &[(1, 10, 49)], 0));
    assert!(!judge(&views).is_hot(Key::new(1)));
}

#[test]
fn silence_for_however_long_does_not_end_a_hot_stream() {
    let mut views = vec![view(10, &[(1, 110, 110)], 0)];
    // Senders not heard may have been handed it; and a gap of more than a window shows nothing of what was in it.
    views.extend((11..100).map(|pane| view(pane, &[(1, 10, 20)], 1)));
    views.push(view(200, &[(1, 10, 20)], 0));
    views.push(view(201 + PANES, &[(1, 10, 20)], 0));
    assert!(judge(&views).is_hot(Key::new(1)));
}

#[test]
fn a_key_is_repeated_by_a_fresh_view_of_two_senders_at_least() {
    let sum = |key, senders| Sum { key: Key::new(key), least: 3, spread: 0, senders };
    let mut answer = view(10, &[], 0).answer().clone();
    answer.keys.sums = vec![sum(1, 2), sum(2, 1)];
    let view = View::read(answer, SENDERS, &Settings::default()).expect("nobody was heard twice");
    let at = |key, now| repeated(&view, Key::new(key), now, 2_000).map(|r| (r.senders, r.copies, r.until));
    assert_eq!(at(1, 20_000), Some((2, 3, 20_000)));
    assert_eq!(at(1, 29_999), Some((2, 3, 20_000)));
    assert_eq!(at(1, 30_000), None);
    assert_eq!(at(2, 20_000), None);
}

proptest! {
    #[test]
    fn no_more_streams_are_hot_than_fit_and_each_became_so_by_a_view_that_shows_it(
        flows in prop::collection::vec(prop::collection::btree_map(0_u64..40, 0_u64..200, 0..12), 1..40),
    ) {
        let mut judge = Judge::new(0.1);
        for (pane, flow) in (10..).zip(flows) {
            // Cut to what 1,000 messages can be.
            let mut left = 1_000;
            let streams: Vec<(u64, u64, u64)> = flow.into_iter().map(|(key, count)| {
                let count = count.min(left);
                left -= count;
                (key, count, count)
            }).collect();
            let view = view(pane, &streams, 0);
            let before: Vec<Key> = judge.hot().collect();
            judge.rise(&view);
            prop_assert!(judge.hot().count() <= 10);
            for key in judge.hot().filter(|key| !before.contains(key)) {
                prop_assert!(view.stream(key).least > 100);
            }
            prop_assert!(streams.iter().all(|(key, count, _)| *count <= 100 || judge.is_hot(Key::new(*key))));
            judge.settle(&view);
        }
    }
}
