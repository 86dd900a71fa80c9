//! Selection of aggregators.
use crate::aggregator_selection::{TERM_SLICES, aggregators};
use crate::sender_id::SenderId;
use crate::slice::Slice;

/// Over many terms, each sender is the first candidate about equally often.
#[test]
fn three_distinct_senders_are_selected_for_each_term() {
    assert_eq!(aggregators(Slice(0), 300), aggregators(Slice(TERM_SLICES - 1), 300));
    let mut first_candidate_counts = [0_u32; 300];
    for term in 0..30_000 {
        let selected = aggregators(Slice(term * TERM_SLICES), 300);
        assert_eq!(selected.len(), 3);
        assert!(selected[0] != selected[1] && selected[1] != selected[2] && selected[0] != selected[2]);
        first_candidate_counts[selected[0].0] += 1;
    }
    // The expected count is 100 for each sender; the bounds are five standard deviations away.
    assert!(
        first_candidate_counts.iter().all(|count| (50..=150).contains(count)),
        "{first_candidate_counts:?}"
    );
    assert_eq!(aggregators(Slice(7), 1), [SenderId(0)]);
    assert!(aggregators(Slice(7), 0).is_empty());
}
