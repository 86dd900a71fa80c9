//! Tests the owners of permits, and schedules of limits that are not positive numbers.

use rudderspindle_clock::UnixMillis;

use super::{ISSUED_FRACTION, PermitSchedule};
use crate::limit_id::LimitId;

#[test]
fn every_permit_has_one_owner_in_rotation() {
    for (limit, sender_count) in [(60.0, 12), (0.3, 300), (1_000.0, 7), (75.0, 300)] {
        let schedule = PermitSchedule::new(LimitId::of(7, None), limit, sender_count);
        let span = UnixMillis(1_700_000_000_123)..UnixMillis(1_700_000_020_456);
        let all = schedule.starting_in(span.clone());
        let owned_by = |sender| schedule.owned_by(sender, span.clone()).map(move |number| (number, sender));
        let mut owned: Vec<(u64, usize)> = (0..sender_count).flat_map(owned_by).collect();
        owned.sort_unstable();
        let owners: Vec<(u64, usize)> = all.clone().map(|number| (number, schedule.owner(number))).collect();
        assert_eq!(owned, owners);
        assert!(all.clone().all(|number| span.contains(&schedule.starts_at(number))));
        let expected = limit * ISSUED_FRACTION * 20.333;
        assert!((all.count() as f64 - expected).abs() <= 1.0 + expected / 1_000.0, "{limit}");
    }
}

#[test]
fn a_limit_that_is_not_a_positive_number_issues_the_fewest_permits() {
    for limit in [0.0, -3.0, f64::NAN] {
        let schedule = PermitSchedule::new(LimitId::of(7, None), limit, 3);
        assert_eq!(schedule.starting_in(UnixMillis(0)..UnixMillis(3_600_001)).count(), 2, "{limit}");
    }
}
