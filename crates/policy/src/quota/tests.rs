//! Tests of the tenant quotas.

use super::*;

fn settings() -> Settings {
    let json = serde_json::json!({"extra": {"calls_out": 4}, "limits": {"max_attempts": 4, "most_held": 50},
        "kinds": ["k"], "lanes": [{"effect": "single_shot", "deadline": 9000.0}], "peers_total": 10,
        "projects": [{"quota_per_s": 100.0}, {"quota_per_s": 100.0}]});
    crate::settings::read(&json).expect("settings")
}

/// One of ten senders receives admitted messages of a tenant. With a reported share it may use that share,
/// without a report only an equal part of the quota.
#[test]
fn a_reported_share_takes_precedence_over_an_equal_part() {
    let settings = settings();
    let mut quotas = Quotas::new(2);
    quotas.set_share(0, Some(90.0));
    let within = |quotas: &mut Quotas, tenant| {
        let admitted = (0..2_000).map(|n| quotas.admits(1e6 + f64::from(n) * 10.0, &settings, tenant));
        admitted.filter(|within| *within).count()
    };
    // 20 s at 90 messages per second, and a burst of two seconds.
    assert_eq!(within(&mut quotas, 0), 1_979);
    let equal_part = within(&mut quotas, 1);
    assert!((200..=230).contains(&equal_part), "{equal_part}");
    quotas.set_share(0, None);
    quotas.set_share(7, Some(1.0));
    assert!(within(&mut quotas, 0) < 400);
}
