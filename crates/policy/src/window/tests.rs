//! Tests of the sliding window.

use super::*;

#[test]
fn the_window_reaches_farther_back_while_it_holds_few_requests() {
    let counts = |count: f64| Some(WindowCounts { requests: count, accepts: count });
    let bounds = WindowBounds { min_span: 100.0, max_span: 300.0, min_samples: 2.0 };
    let mut window = Window::default();
    for at in [0.0, 150.0, 250.0] {
        window.add(at, 1.0, 1.0);
    }
    // At 260 the first entry is older than the minimum span and is removed, because two others remain.
    assert_eq!(window.counts(260.0, 1.0, bounds), counts(2.0));
    assert_eq!(window.span(260.0), 110.0);
    // The entry of 150 stays until the maximum span ends, because only one other entry remains.
    assert_eq!(window.counts(449.0, 1.0, bounds), counts(2.0));
    assert_eq!(window.counts(450.0, 1.0, bounds), counts(1.0));
    // With a time scale of 2 the last entry, 200 ms old, counts as 400 ms old and is removed.
    assert_eq!(window.counts(450.0, 2.0, bounds), None);
}
