//! The conditions under which a stream becomes hot and cools down, with constructed views.

use proptest::prelude::{prop, prop_assert, proptest};
use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{
    Acknowledgement, FleetView, HotStreamDetector, Key, KeyTotal, SLICES_PER_WINDOW, Settings, Slice,
    TopKeys, WindowSummary, find_repeated_key,
};

const SENDERS: usize = 10;

/// A stream with between `min` and `max` messages.
#[derive(Clone, Copy)]
struct Stream {
    key: u64,
    min: u64,
    max: u64,
}

fn stream(key: u64, min: u64, max: u64) -> Stream {
    Stream { key, min, max }
}

/// A view of 1,000 messages that include the streams; `missing` senders did not report in one slice.
fn view(slice: u64, streams: &[Stream], missing: u16) -> FleetView {
    let total = |stream: &Stream| {
        let spread = stream.max - stream.min;
        KeyTotal { key: Key::new(stream.key), min: stream.min, spread, senders: 1 }
    };
    let summary = WindowSummary {
        slice: Slice(slice),
        round: 3,
        acknowledgement: Acknowledgement::default(),
        complete_counts: [SENDERS as u16 - missing, 10, 10, 10, 10],
        messages: 1_000,
        streams: TopKeys { totals: streams.iter().map(total).collect(), max_unlisted: 5 },
        keys: TopKeys::default(),
    };
    let settings = Settings { max_per_second: 100, ..Settings::default() };
    FleetView::new(summary, SENDERS, &settings).expect("nobody is counted twice")
}

fn detect(views: &[FleetView]) -> HotStreamDetector {
    let mut detector = HotStreamDetector::new(0.1);
    for view in views {
        detector.detect(view);
        detector.expire(view);
    }
    detector
}

#[test]
fn a_stream_is_hot_once_its_lower_bound_is_over_the_fraction_of_the_upper_bound_of_all() {
    assert!(
        !detect(&[view(10, &[stream(1, 100, 900)], 0)]).is_hot(Key::new(1)),
        "its lower bound is not over"
    );
    assert!(detect(&[view(10, &[stream(1, 101, 101)], 0)]).is_hot(Key::new(1)));
    // A sender that did not report for a slice of 2 s may have accepted 200 more.
    assert!(!detect(&[view(10, &[stream(1, 119, 119)], 1)]).is_hot(Key::new(1)));
    assert!(detect(&[view(10, &[stream(1, 121, 121)], 1)]).is_hot(Key::new(1)));
}

#[test]
fn a_stream_around_the_fraction_does_not_flap_and_ends_a_window_after_it_is_under_half_of_it() {
    let mut views = vec![view(10, &[stream(1, 110, 110)], 0)];
    // Between the hot fraction and half of it, longer than a window.
    views.extend((11..40).map(|slice| view(slice, &[stream(1, 60 + slice % 2 * 30, 100)], 0)));
    assert!(detect(&views).is_hot(Key::new(1)));
    // Now below, but once above just before the window is over.
    views.extend((40..44).map(|slice| view(slice, &[stream(1, 10, 49)], 0)));
    views.push(view(44, &[stream(1, 10, 51)], 0));
    views.extend((45..50).map(|slice| view(slice, &[stream(1, 10, 49)], 0)));
    assert!(detect(&views).is_hot(Key::new(1)));
    views.push(view(50, &[stream(1, 10, 49)], 0));
    assert!(!detect(&views).is_hot(Key::new(1)));
}

#[test]
fn silence_for_however_long_does_not_end_a_hot_stream() {
    let mut views = vec![view(10, &[stream(1, 110, 110)], 0)];
    // Senders that did not report may have accepted it, and nothing is known of a gap longer than a window.
    views.extend((11..100).map(|slice| view(slice, &[stream(1, 10, 20)], 1)));
    views.push(view(200, &[stream(1, 10, 20)], 0));
    views.push(view(201 + SLICES_PER_WINDOW, &[stream(1, 10, 20)], 0));
    assert!(detect(&views).is_hot(Key::new(1)));
}

#[test]
fn a_key_is_repeated_by_a_recent_view_of_two_senders_at_least() {
    let total = |key, senders| KeyTotal { key: Key::new(key), min: 3, spread: 0, senders };
    let mut summary = view(10, &[], 0).summary().clone();
    summary.keys.totals = vec![total(1, 2), total(2, 1)];
    let view = FleetView::new(summary, SENDERS, &Settings::default()).expect("nobody is counted twice");
    let find = |key, now_ms| {
        let found = find_repeated_key(&view, Key::new(key), UnixMillis(now_ms), 2_000);
        found.map(|key| (key.min_senders, key.min_copies, key.window_end.0))
    };
    assert_eq!(find(1, 20_000), Some((2, 3, 20_000)));
    assert_eq!(find(1, 29_999), Some((2, 3, 20_000)));
    assert_eq!(find(1, 30_000), None);
    assert_eq!(find(2, 20_000), None);
}

proptest! {
    #[test]
    fn no_more_streams_are_hot_than_fit_and_each_became_so_by_a_view_that_shows_it(
        flows in prop::collection::vec(prop::collection::btree_map(0_u64..40, 0_u64..200, 0..12), 1..40),
    ) {
        let mut detector = HotStreamDetector::new(0.1);
        for (slice, flow) in (10..).zip(flows) {
            // Limited to 1,000 messages.
            let mut remaining = 1_000;
            let streams: Vec<Stream> = flow.into_iter().map(|(key, count)| {
                let count = count.min(remaining);
                remaining -= count;
                stream(key, count, count)
            }).collect();
            let view = view(slice, &streams, 0);
            let before: Vec<Key> = detector.hot_streams().collect();
            detector.detect(&view);
            prop_assert!(detector.hot_streams().count() <= 10);
            for key in detector.hot_streams().filter(|key| !before.contains(key)) {
                prop_assert!(view.stream(key).min > 100);
            }
            prop_assert!(streams.iter().all(|stream| stream.min <= 100 || detector.is_hot(Key::new(stream.key))));
            detector.expire(&view);
        }
    }
}
