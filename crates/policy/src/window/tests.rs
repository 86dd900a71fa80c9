//! Tests of the sliding window.

use super::*;

#[test]
fn the_window_reaches_farther_back_while_it_holds_few_requests() {
    let counts = |both: f64| Some(WindowCounts { requests: both, accepts: both });
    let bounds = WindowBounds { min_span: 100.0, max_span: 300.0, min_samples: 2.0 };
    let mut window = Window::default();
    for at in [0.0, 150.0, 250.0] {
        window.count(at, 1.0, 1.0);
    }
    // At 260 two requests are left without the first one: it is older than the minimum span, and is dropped.
    assert_eq!(window.counts(260.0, 1.0, bounds), counts(2.0));
    assert_eq!(window.span(260.0), 110.0);
    // The one of 150 stays while only one would be left, until the maximum span ends.
    assert_eq!(window.counts(449.0, 1.0, bounds), counts(2.0));
    assert_eq!(window.counts(450.0, 1.0, bounds), counts(1.0));
    // Time that runs twice as fast ends it sooner.
    assert_eq!(window.counts(450.0, 2.0, bounds), None);
}
