use proptest::prelude::{any, prop_assert, proptest};
use rudderspindle_clock::UnixMillis;

use super::super::UsageInterval;
use super::{MAX_TOTAL_SHARE, quota_share};

proptest! {
    /// Senders that do not receive the usage of the others compute their shares from larger upper bounds.
    #[test]
    fn shares_of_all_senders_add_up_to_at_most_two_quotas(
        senders in proptest::collection::vec((0_u64..500, 0_u64..2_000, any::<bool>()), 1..40),
    ) {
        let truth: u64 = senders.iter().map(|(own_messages, ..)| own_messages).sum();
        let shares = senders.iter().map(|(own_messages, unknown_messages, receives_usage)| {
            let max = truth + if *receives_usage { 0 } else { *unknown_messages };
            let fleet_usage = UsageInterval { min: *own_messages, max, senders: 1, newest_epoch_end: None };
            quota_share(*own_messages, &fleet_usage, senders.len())
        });
        let total: f64 = shares.sum();
        prop_assert!(total <= MAX_TOTAL_SHARE + 1e-9, "{total}");
        prop_assert!(total >= 1.0 - 1e-9, "{total}: each sender has at least an equal share");
    }
}

#[test]
fn a_sender_with_half_of_a_tenants_traffic_has_half_of_its_quota() {
    let fleet_usage =
        UsageInterval { min: 200, max: 220, senders: 300, newest_epoch_end: Some(UnixMillis(1)) };
    assert!((quota_share(110, &fleet_usage, 300) - 0.5).abs() < 1e-9);
    assert!((quota_share(0, &fleet_usage, 300) - 1.0 / 300.0).abs() < 1e-9);
    let idle_fleet_usage =
        UsageInterval { min: 0, max: 0, senders: 300, newest_epoch_end: Some(UnixMillis(1)) };
    assert!((quota_share(0, &idle_fleet_usage, 300) - 1.0 / 300.0).abs() < 1e-9);
}
