//! Selection of aggregators.
use crate::aggregator_selection::{TERM_SLICES, aggregators};
use crate::sender_id::SenderId;
use crate::slice::Slice;

#[test]
fn three_distinct_senders_are_selected_for_a_term_and_each_has_its_turn() {
    assert_eq!(aggregators(Slice(0), 300), aggregators(Slice(TERM_SLICES - 1), 300));
    let mut first = [0_u32; 300];
    for term in 0..30_000 {
        let selected = aggregators(Slice(term * TERM_SLICES), 300);
        assert_eq!(selected.len(), 3);
        assert!(selected[0] != selected[1] && selected[1] != selected[2] && selected[0] != selected[2]);
        first[selected[0].0] += 1;
    }
    // A hundred each, within five standard deviations.
    assert!(first.iter().all(|count| (50..=150).contains(count)), "{first:?}");
    assert_eq!(aggregators(Slice(7), 1), [SenderId(0)]);
    assert!(aggregators(Slice(7), 0).is_empty());
}
