//! Behaviour of the slice counter when the clock is stepped.
use proptest::prelude::{any, prop, prop_assert, prop_oneof, proptest};
use rudderspindle_clock::UnixMillis;

use crate::key::Key;
use crate::settings::Settings;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counter::SliceCounter;

proptest! {
    #[test]
    fn no_slice_is_stored_beyond_a_window_after_clock_steps(
        steps in prop::collection::vec(prop_oneof![-20_000_i64..20_000, any::<i64>()], 1..200),
    ) {
        let settings = Settings::default();
        let mut now_ms: u64 = 1_000_000;
        let mut counter = SliceCounter::new(&settings, UnixMillis(now_ms), false);
        for step in steps {
            now_ms = now_ms.saturating_add_signed(step);
            let now = UnixMillis(now_ms);
            counter.record(now, Key::new(1), Some(Key::new(2)));
            let current = Slice::containing(now, settings.slice_ms());
            prop_assert!(counter.slices().count() <= 2 * SLICES_PER_WINDOW as usize + 1);
            prop_assert!(counter.slices().all(|slice| slice.distance(current) <= SLICES_PER_WINDOW));
            prop_assert!(counter.total(current) > 0);
        }
    }
}

#[test]
fn a_small_backward_clock_step_decreases_no_total() {
    let at = UnixMillis;
    let mut counter = SliceCounter::new(&Settings::default(), at(10_000), true);
    counter.record(at(12_000), Key::new(1), None);
    counter.record(at(9_000), Key::new(1), None);
    counter.record(at(12_100), Key::new(1), None);
    assert_eq!(counter.total(Slice(6)), 2);
}
