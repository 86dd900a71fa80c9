//! The merge changes nothing by order, doubles, replays; and what is lost leaves the truth inside.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rudderspindle_heavy_hitters::{Answer, Digest, HotError, Key, Merged, Panes, Settings, View};

const SENDERS: usize = 6;
const NOW: u64 = 100;
/// What a sender may be handed in a pane of 2 s: 20.
const SETTINGS: Settings = Settings { window_ms: 10_000, entries: 16, part: 0.1, most_per_second: 10 };

/// What each sender was handed in the five panes of the window, at most 20 in each, and in which it started again with
/// nothing, in the middle of its messages.
fn flows() -> impl Strategy<Value = Vec<(Vec<Vec<u64>>, Option<usize>)>> {
    let pane = prop::collection::vec(0_u64..30, 0..=20);
    let sender = (prop::collection::vec(pane, 5), prop::option::of(0_usize..5));
    prop::collection::vec(sender, SENDERS)
}

/// What these senders have to tell in all, also of what they told while a pane was not full, and the truth.
fn told(flows: &[(Vec<Vec<u64>>, Option<usize>)]) -> (Vec<(usize, Digest)>, BTreeMap<Key, u64>) {
    let (mut notes, mut truth) = (Vec::new(), BTreeMap::new());
    for (sender, (panes, restarts)) in flows.iter().enumerate() {
        let (mut life, mut incarnation) = (Panes::new(&SETTINGS, (NOW - 5) * 2_000, true), 1);
        for (at, flow) in panes.iter().enumerate() {
            let pane = NOW - 5 + at as u64;
            for (n, key) in flow.iter().enumerate() {
                if *restarts == Some(at) && n == flow.len() / 2 {
                    // What this life told of the pane is less than what it was handed; the next begins with nothing.
                    notes.extend(life.digest(incarnation, pane).map(|digest| (sender, digest)));
                    (life, incarnation) = (Panes::new(&SETTINGS, pane * 2_000, false), 2);
                }
                life.hand_in(pane * 2_000, Key::new(*key), (*key > 20).then_some(Key::new(*key)));
                *truth.entry(Key::new(*key)).or_default() += 1;
                if n % 7 == 3 {
                    notes.extend(life.digest(incarnation, pane).map(|digest| (sender, digest)));
                }
            }
            notes.extend(life.digest(incarnation, pane).map(|digest| (sender, digest)));
        }
    }
    (notes, truth)
}

fn merged(notes: &[(usize, Digest)]) -> Merged {
    let mut merged = Merged::new(SENDERS, SETTINGS.most_per_pane());
    for (from, digest) in notes {
        match merged.take_in(*from, digest.clone(), NOW) {
            Ok(()) | Err(HotError::Incarnation) => {}
            Err(error) => panic!("{error}"),
        }
    }
    merged
}

proptest! {
    #[test]
    fn order_doubles_and_replays_change_nothing(
        flows in flows(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let (notes, _) = told(&flows);
        let once = merged(&notes).sums(NOW);
        let mut backwards = notes.clone();
        backwards.reverse();
        prop_assert_eq!(&merged(&backwards).sums(NOW), &once);
        // Each at least once, in any order, many twice and more.
        let mut shuffled: Vec<_> = order.iter().map(|at| at.get(&notes).clone()).collect();
        shuffled.extend(backwards);
        shuffled.extend(order.iter().map(|at| at.get(&notes).clone()));
        prop_assert_eq!(&merged(&shuffled).sums(NOW), &once);
    }

    #[test]
    fn whatever_is_lost_the_truth_lies_in_every_interval(
        flows in flows(),
        lost in prop::collection::vec(prop::bool::weighted(0.1), 200),
    ) {
        let (notes, truth) = told(&flows);
        // A sender's last word of a pane is what it knows; if only earlier ones came, it was not whole: so whole panes are
        // told after they closed alone.
        let mut last: BTreeMap<(usize, u64), Digest> = BTreeMap::new();
        for (from, digest) in notes {
            last.insert((from, digest.pane), digest);
        }
        let heard = last.into_iter().zip(lost).filter(|(_, lost)| !lost);
        let heard: Vec<(usize, Digest)> = heard.map(|(((from, _), digest), _)| (from, digest)).collect();
        let answer = Answer::of(NOW, 3, &merged(&heard).sums(NOW));
        prop_assert!(answer.keys.sums.iter().all(|sum| sum.senders > 1));
        let view = View::read(answer, SENDERS, &SETTINGS).expect("nobody was heard twice");
        let all = truth.values().sum();
        prop_assert!(view.all().holds(all), "{} handed in, {:?}", all, view.all());
        for key in (0..31).map(Key::new) {
            let count = truth.get(&key).copied().unwrap_or(0);
            prop_assert!(view.stream(key).holds(count), "{} of {:?}: {:?}", count, key, view.stream(key));
        }
    }
}

#[test]
fn a_newer_life_replaces_its_pane_and_what_the_older_one_says_of_it_later_is_refused() {
    let mut panes = Panes::new(&SETTINGS, (NOW - 1) * 2_000, true);
    for _ in 0..9 {
        panes.hand_in((NOW - 1) * 2_000, Key::new(1), None);
    }
    let old = panes.digest(1, NOW - 1).expect("it was handed something");
    let mut panes = Panes::new(&SETTINGS, (NOW - 1) * 2_000, false);
    panes.hand_in((NOW - 1) * 2_000, Key::new(1), None);
    let new = panes.digest(2, NOW - 1).expect("it was handed something");
    let mut merged = Merged::new(SENDERS, SETTINGS.most_per_pane());
    assert_eq!(merged.take_in(0, old.clone(), NOW), Ok(()));
    assert_eq!(merged.sums(NOW).total, 9);
    assert_eq!(merged.take_in(0, new, NOW), Ok(()));
    assert_eq!(merged.sums(NOW).total, 1);
    // The pane counts as one of which not all is known: its first half was the older life's.
    assert_eq!(merged.sums(NOW).heard, [0, 1, 1, 1, 1]);
    assert_eq!(merged.take_in(0, old.clone(), NOW), Err(HotError::Incarnation));
    assert_eq!(merged.sums(NOW).total, 1);
    assert_eq!(merged.take_in(SENDERS, old.clone(), NOW), Err(HotError::Stranger));
    assert_eq!(merged.take_in(0, old.clone(), NOW + 10), Err(HotError::Pane));
    assert_eq!(merged.take_in(0, old.clone(), NOW - 10), Err(HotError::Pane));
    // A door lets 20 in.
    assert_eq!(merged.take_in(1, Digest { total: 21, ..old }, NOW), Err(HotError::Beyond));
    merged.turn(NOW + 10);
    assert_eq!(merged.registers(), 0);
}

#[test]
fn panes_before_a_first_start_count_as_heard_and_empty_but_never_against_what_was_told_of_them() {
    let told = |incarnation, pane: u64, idle_before| {
        let mut panes = Panes::new(&SETTINGS, pane * 2_000, idle_before);
        panes.hand_in(pane * 2_000, Key::new(1), None);
        panes.digest(incarnation, pane).expect("it was handed something")
    };
    let mut merged = Merged::new(SENDERS, SETTINGS.most_per_pane());
    assert_eq!(merged.take_in(0, told(1, NOW - 2, true), NOW), Ok(()));
    assert_eq!((merged.sums(NOW).heard, merged.sums(NOW).total), ([0, 1, 1, 1, 1], 1));
    // Who does not know what an earlier life was handed says nothing of it.
    assert_eq!(merged.take_in(1, told(1, NOW - 2, false), NOW), Ok(()));
    assert_eq!((merged.sums(NOW).heard, merged.sums(NOW).total), ([0, 1, 1, 1, 1], 2));
    // A later life that is wrong about it changes nothing, in either order.
    let (earlier, later) = (told(1, NOW - 4, true), told(2, NOW - 2, true));
    for notes in [[&earlier, &later], [&later, &earlier]] {
        let mut merged = Merged::new(SENDERS, SETTINGS.most_per_pane());
        for digest in notes {
            assert_eq!(merged.take_in(0, digest.clone(), NOW), Ok(()));
        }
        assert_eq!((merged.sums(NOW).heard, merged.sums(NOW).total), ([0, 1, 1, 1, 1], 2));
    }
}
