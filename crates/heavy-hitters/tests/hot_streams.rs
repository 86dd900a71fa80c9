//! Tests with constructed views when a stream becomes hot and when it stops being hot.

use proptest::prelude::{prop, prop_assert, proptest};
use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{
    Acknowledgement, FleetView, HotStreamDetector, Key, KeyTotal, SLICES_PER_WINDOW, Settings, Slice,
    TopKeys, WindowSummary, find_repeated_key,
};

const SENDERS: usize = 10;

/// A stream whose number of messages is between `min` and `max`.
#[derive(Clone, Copy)]
struct Stream {
    key: u64,
    min: u64,
    max: u64,
}

fn stream(key: u64, min: u64, max: u64) -> Stream {
    Stream { key, min, max }
}

/// A view of the window before `slice` with 1,000 messages, including those of the streams; `missing_senders`
/// senders did not report one slice.
fn view(slice: u64, streams: &[Stream], missing_senders: u16) -> FleetView {
    let total = |stream: &Stream| {
        let spread = stream.max - stream.min;
        KeyTotal { key: Key::new(stream.key), min: stream.min, spread, senders: 1 }
    };
    let summary = WindowSummary {
        slice: Slice(slice),
        round_index: 3,
        acknowledgement: Acknowledgement::default(),
        complete_counts: [SENDERS as u16 - missing_senders, 10, 10, 10, 10],
        messages: 1_000,
        streams: TopKeys { totals: streams.iter().map(total).collect(), max_unlisted: 5 },
        idempotency_keys: TopKeys::default(),
    };
    let settings = Settings { max_per_second: 100, ..Settings::default() };
    FleetView::new(summary, SENDERS, &settings)
        .expect("the summary counts each sender at most once in a slice")
}

/// A detector that has evaluated the views in this order.
fn detector_after(views: &[FleetView]) -> HotStreamDetector {
    let mut detector = HotStreamDetector::new(0.1);
    for view in views {
        detector.detect(view);
        detector.remove_cooled(view);
    }
    detector
}

/// The threshold is the hot fraction of the upper bound of all messages.
#[test]
fn a_stream_is_hot_if_its_lower_bound_exceeds_the_threshold() {
    assert!(
        !detector_after(&[view(10, &[stream(1, 100, 900)], 0)]).is_hot(Key::new(1)),
        "the lower bound 100 does not exceed the threshold 100"
    );
    assert!(detector_after(&[view(10, &[stream(1, 101, 101)], 0)]).is_hot(Key::new(1)));
    // A sender that did not report a slice of 2 s may have accepted 200 more messages.
    assert!(!detector_after(&[view(10, &[stream(1, 119, 119)], 1)]).is_hot(Key::new(1)));
    assert!(detector_after(&[view(10, &[stream(1, 121, 121)], 1)]).is_hot(Key::new(1)));
}

/// A stream stays hot until it has been below half of the threshold for a whole window.
#[test]
fn a_stream_near_the_threshold_stays_hot() {
    let mut views = vec![view(10, &[stream(1, 110, 110)], 0)];
    // For longer than a window, the stream is between the threshold and half of it.
    views.extend((11..40).map(|slice| view(slice, &[stream(1, 60 + slice % 2 * 30, 100)], 0)));
    assert!(detector_after(&views).is_hot(Key::new(1)));
    // The stream is below half of the threshold, but once above it just before the window is over.
    views.extend((40..44).map(|slice| view(slice, &[stream(1, 10, 49)], 0)));
    views.push(view(44, &[stream(1, 10, 51)], 0));
    views.extend((45..50).map(|slice| view(slice, &[stream(1, 10, 49)], 0)));
    assert!(detector_after(&views).is_hot(Key::new(1)));
    views.push(view(50, &[stream(1, 10, 49)], 0));
    assert!(!detector_after(&views).is_hot(Key::new(1)));
}

#[test]
fn missing_reports_do_not_end_a_hot_stream() {
    let mut views = vec![view(10, &[stream(1, 110, 110)], 0)];
    // Senders that did not report may have accepted messages of the stream, and a gap longer than a window
    // hides others.
    views.extend((11..100).map(|slice| view(slice, &[stream(1, 10, 20)], 1)));
    views.push(view(200, &[stream(1, 10, 20)], 0));
    views.push(view(201 + SLICES_PER_WINDOW, &[stream(1, 10, 20)], 0));
    assert!(detector_after(&views).is_hot(Key::new(1)));
}

/// The view must be less than a window old, and at least two senders must have accepted the key.
#[test]
fn a_repeated_key_needs_a_recent_view_and_two_senders() {
    let total = |key, senders| KeyTotal { key: Key::new(key), min: 3, spread: 0, senders };
    let mut summary = view(10, &[], 0).summary().clone();
    summary.idempotency_keys.totals = vec![total(1, 2), total(2, 1)];
    let view = FleetView::new(summary, SENDERS, &Settings::default())
        .expect("the summary counts each sender at most once in a slice");
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
    /// At most `1 / hot_fraction` streams are hot, and each becomes hot by a view in which it exceeds the threshold.
    #[test]
    fn the_number_of_hot_streams_is_bounded(
        stream_counts_by_view in
            prop::collection::vec(prop::collection::btree_map(0_u64..40, 0_u64..200, 0..12), 1..40),
    ) {
        let mut detector = HotStreamDetector::new(0.1);
        for (slice, stream_counts) in (10..).zip(stream_counts_by_view) {
            // The streams of a view have at most 1,000 messages in total.
            let mut remaining = 1_000;
            let streams: Vec<Stream> = stream_counts.into_iter().map(|(key, count)| {
                let count = count.min(remaining);
                remaining -= count;
                stream(key, count, count)
            }).collect();
            let view = view(slice, &streams, 0);
            let hot_before: Vec<Key> = detector.hot_streams().collect();
            detector.detect(&view);
            prop_assert!(detector.hot_streams().count() <= 10);
            for key in detector.hot_streams().filter(|key| !hot_before.contains(key)) {
                prop_assert!(view.stream_bounds(key).min > 100);
            }
            prop_assert!(streams.iter().all(|stream| stream.min <= 100 || detector.is_hot(Key::new(stream.key))));
            detector.remove_cooled(&view);
        }
    }
}
