//! Validation of an operator's rules: a valid rule set, or one error that names the valid values.
use std::collections::BTreeSet;

use rudderspindle_placement::{
    FleetKey, MAX_TENANTS, RuleSet, RuleSetError, TenantRule, ZoneList, ZoneListError, ZoneSet,
};

fn check(revision: u64, rules: &[(&str, &[&str])]) -> Result<RuleSet, RuleSetError> {
    let rules: Vec<TenantRule> = rules.iter().map(|&(tenant, zones)| TenantRule { tenant, zones }).collect();
    let zones = ZoneList::new(&["hall-a", "hall-b", "hall-c"]).unwrap();
    let known_tenants = BTreeSet::from(["narmada-sports", "tapi-news"]);
    RuleSet::new(revision, &rules, &zones, &known_tenants, &FleetKey::new([1; 16]))
}

#[test]
fn each_invalid_rule_set_is_an_error_that_names_the_cause() {
    let known: Vec<String> = ["hall-a", "hall-b", "hall-c"].map(String::from).into();
    let (tenant, zone) = ("tapi-news".to_owned(), "hall-d".to_owned());
    let many = vec![("tapi-news", &["hall-a"][..]); MAX_TENANTS + 1];
    for (result, error, expected_text) in [
        (check(0, &[]), RuleSetError::RevisionZero, "the first revision is 1"),
        (
            check(1, &[("tapi-news", &["hall-a", "hall-d"])]),
            RuleSetError::UnknownZone { tenant: tenant.clone(), zone, known },
            "must be one of",
        ),
        (check(1, &[("tapi", &["hall-a"])]), RuleSetError::UnknownTenant("tapi".into()), "\"tapi\""),
        (check(1, &[("tapi-news", &[])]), RuleSetError::NoZones(tenant.clone()), "leave the tenant out"),
        (
            check(1, &[("tapi-news", &["hall-a"]), ("tapi-news", &["hall-b"])]),
            RuleSetError::DuplicateTenant(tenant),
            "one rule with all its zones",
        ),
        (check(1, &many), RuleSetError::TooManyTenants(257), "at most 256"),
    ] {
        let actual = result.unwrap_err();
        assert_eq!(actual, error);
        let text = actual.to_string();
        assert!(text.contains(expected_text) && !text.contains('\n'), "{text}");
    }
}

#[test]
fn zone_sets_have_bits_in_the_order_of_the_zone_list() {
    let rules = check(3, &[("tapi-news", &["hall-c", "hall-a"])]).unwrap();
    let key = FleetKey::new([1; 16]);
    assert_eq!(rules.zones_of(key.tenant_id("tapi-news")), Some(ZoneSet(0b101)));
    assert_eq!(rules.zones_of(key.tenant_id("narmada-sports")), None);
    assert_ne!(
        key.tenant_id("tapi-news"),
        FleetKey::new([2; 16]).tenant_id("tapi-news"),
        "the id of a tenant must depend on the fleet key"
    );
}

#[test]
fn an_empty_too_long_or_repeating_zone_list_is_an_error() {
    assert_eq!(ZoneList::new(&[]), Err(ZoneListError::Count(0)));
    assert_eq!(ZoneList::new(&["a"; 33]), Err(ZoneListError::Count(33)));
    assert_eq!(ZoneList::new(&["a", "b", "a"]), Err(ZoneListError::Duplicate("a".into())));
}
