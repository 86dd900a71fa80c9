//! Rules as an operator writes them: whole and right, or one error that says what would be right.
use std::collections::BTreeSet;

use rudderspindle_placement::{HallMask, Halls, HallsError, Key, MOST_TENANTS, Rules, RulesError};

fn check(revision: u64, rules: &[(&str, &[&str])]) -> Result<Rules, RulesError> {
    let halls = Halls::new(&["hall-a", "hall-b", "hall-c"]).unwrap();
    let tenants = BTreeSet::from(["narmada-sports", "tapi-news"]);
    Rules::check(revision, rules, &halls, &tenants, &Key::new([1; 16]))
}

#[test]
fn each_thing_wrong_with_a_rule_set_is_an_error_that_names_it() {
    let known: Vec<String> = ["hall-a", "hall-b", "hall-c"].map(String::from).into();
    let (tenant, hall) = ("tapi-news".to_owned(), "hall-d".to_owned());
    let many = vec![("tapi-news", &["hall-a"][..]); MOST_TENANTS + 1];
    for (result, error, says) in [
        (check(0, &[]), RulesError::RevisionZero, "the first revision is 1"),
        (
            check(1, &[("tapi-news", &["hall-a", "hall-d"])]),
            RulesError::UnknownHall { tenant: tenant.clone(), hall, known },
            "known are",
        ),
        (check(1, &[("tapi", &["hall-a"])]), RulesError::UnknownTenant("tapi".into()), "\"tapi\""),
        (check(1, &[("tapi-news", &[])]), RulesError::NoHalls(tenant.clone()), "leave the tenant out"),
        (
            check(1, &[("tapi-news", &["hall-a"]), ("tapi-news", &["hall-b"])]),
            RulesError::TenantTwice(tenant),
            "one rule with all its halls",
        ),
        (check(1, &many), RulesError::TooMany(257), "at most 256"),
    ] {
        let found = result.unwrap_err();
        assert_eq!(found, error);
        let line = found.to_string();
        assert!(line.contains(says) && !line.contains('\n'), "{line}");
    }
}

#[test]
fn halls_are_bits_in_the_order_of_the_list() {
    let rules = check(3, &[("tapi-news", &["hall-c", "hall-a"])]).unwrap();
    let key = Key::new([1; 16]);
    assert_eq!(rules.halls_of(key.tenant("tapi-news")), Some(HallMask(0b101)));
    assert_eq!(rules.halls_of(key.tenant("narmada-sports")), None);
    assert_ne!(key.tenant("tapi-news"), Key::new([2; 16]).tenant("tapi-news"), "another key, another name");
}

#[test]
fn a_list_of_halls_is_neither_empty_nor_too_long_nor_says_one_twice() {
    assert_eq!(Halls::new(&[]), Err(HallsError::Number(0)));
    assert_eq!(Halls::new(&["a"; 33]), Err(HallsError::Number(33)));
    assert_eq!(Halls::new(&["a", "b", "a"]), Err(HallsError::Twice("a".into())));
}
