//! Tests of the tenant quotas.

use super::*;

fn settings() -> Settings {
    let json = serde_json::json!({"extra": {"calls_out": 4}, "limits": {"max_attempts": 4, "most_held": 50},
        "kinds": ["k"], "lanes": [{"effect": "single_shot", "deadline": 9000.0}], "peers_total": 10,
        "projects": [{"quota_per_s": 100.0}, {"quota_per_s": 100.0}]});
    crate::settings::read(&json).expect("settings")
}

/// This sender is one of ten, and its tenants have quotas of 100 messages per second. It may use 90 of them
/// if that share is reported, but only an equal share of 10 without a report.
#[test]
fn a_reported_share_takes_precedence_over_an_equal_share() {
    let settings = settings();
    let mut quotas = Quotas::new(2);
    quotas.set_share(0, Some(90.0));
    let count_within_quota = |quotas: &mut Quotas, tenant| {
        let admitted = (0..2_000).map(|n| quotas.admits(1e6 + f64::from(n) * 10.0, &settings, tenant));
        admitted.filter(|is_within_quota| *is_within_quota).count()
    };
    // 20 s at 90 messages per second, and a burst of two seconds.
    assert_eq!(count_within_quota(&mut quotas, 0), 1_979);
    let equal_share = count_within_quota(&mut quotas, 1);
    assert!(
        (200..=230).contains(&equal_share),
        "{equal_share} messages within an equal share for 20 s: must be 200 to 230"
    );
    quotas.set_share(0, None);
    quotas.set_share(7, Some(1.0));
    assert!(count_within_quota(&mut quotas, 0) < 400);
}
