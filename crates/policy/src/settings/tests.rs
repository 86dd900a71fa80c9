//! Tests of reading settings.

use serde_json::{Value, json};

use super::{names, parse, read};
use crate::interface::{Effect, KeyGroup};

mod invalid;

/// Settings with all keys that are read, and a valid value for each. [`read`] defines which field of
/// [`Settings`](crate::interface::Settings) each key sets.
fn complete_settings() -> Value {
    json!({"az": 0, "azs": ["left", "right"], "kinds": ["k"], "peers_total": 2, "tick": 5.0, "weights": "rough",
        "discovery": "on_request", "over_share_worth": 0.2, "tariffs": {"cross_zone": 0.1},
        "lanes": [
            {"name": "first", "effect": "free", "group": "all", "window": 0, "credit": 1.0, "target": 2000.0,
             "deadline": 9000.0, "late_worth": 0.3, "aim_stretch": 1.0, "in_order": false},
            {"name": "second", "effect": "guarded", "group": "zone", "window": 1000.0, "deadline": 9000.0}],
        "projects": [{"name": "t", "fraction": 0.6, "quota_per_s": 5.0},
                     {"name": "u", "fraction": 0.4, "quota_per_s": 5.0}],
        "extra": {"calls_out": 8, "bundle_max": [2], "kind_apart": [false], "loses_worth": "halving",
                  "fee_by_zone": [0.1, 0.2]},
        "limits": {"most_held": 50, "max_attempts": 4, "max_retry_after": 3000.0, "retry_after": true,
                   "probing": true, "cancelling": true, "max_streams": 1, "idle_close": 9000.0,
                   "connect_timeout": 500.0},
        "rules": {"cold_from": 0.2, "warm_within": 9000.0, "fall_multiple": 2.0, "tip_after": 3000.0,
                  "turn_gap": 10.0, "ask_within": 2000.0}})
}

/// The complete settings with another value at a JSON pointer; `None` removes the key.
fn settings_with(pointer: &str, value: Option<Value>) -> Value {
    let mut json = complete_settings();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer with a key");
    match (json.pointer_mut(parent).expect("the parent of the key"), value) {
        (Value::Object(parent), Some(value)) => _ = parent.insert(key.to_owned(), value),
        (Value::Object(parent), None) => _ = parent.remove(key),
        (parent, value) => parent[key.parse::<usize>().expect("an index")] = value.unwrap_or_default(),
    }
    json
}

#[expect(clippy::too_many_lines, reason = "a table of cases")]
#[test]
fn optional_and_unknown_keys_and_number_notations_are_accepted() {
    // Window and group are read only for a class with idempotency keys, so the first class may have a window
    // of 0.
    let settings = read(&complete_settings()).expect("settings");
    assert_eq!(settings.classes[0].effect, Effect::Idempotent);
    assert_eq!(settings.classes[1].effect, Effect::IdempotencyKey { group: KeyGroup::Zone, window: 1000.0 });
    assert_eq!((settings.classes[1].latency_objective, settings.classes[1].value), (9000.0, 1.0));
    let with_value = |pointer, value: Value| settings_with(pointer, Some(value));
    for json in [
        with_value("/lanes/0/window", json!("none")),
        with_value("/lanes/0/group", json!("every")),
        with_value("/lanes/0/credit", json!(0)),
        // A latency objective later than the deadline is valid. It means that every delivery before the
        // deadline has its full value.
        with_value("/lanes/0/target", json!(10_000)),
        with_value("/lanes/0/novel", json!({"a": [1]})),
        with_value("/novel", json!(-1)),
        with_value("/projects", json!([])),
        with_value("/projects/0/fraction", json!(0.600_000_4)),
        with_value("/extra/calls_out", json!(8.0)),
        with_value("/limits/max_attempts", json!(4_294_967_295u64)),
        with_value("/peers_total", json!(0)),
    ] {
        assert_eq!(read(&json).map(|_| ()), Ok(()), "{json}");
        assert!(names(&json).is_ok(), "{json}");
    }
    let group = read(&settings_with("/lanes/1/group", None)).expect("settings").classes[1].effect;
    assert_eq!(group, Effect::IdempotencyKey { group: KeyGroup::Route, window: 1000.0 });
    for optional in [
        "/az",
        "/azs",
        "/peers_total",
        "/tick",
        "/weights",
        "/discovery",
        "/over_share_worth",
        "/tariffs",
        "/lanes/0/group",
        "/lanes/0/window",
        "/lanes/0/credit",
        "/lanes/0/target",
        "/lanes/0/late_worth",
        "/lanes/0/in_order",
        "/lanes/1/group",
        "/projects",
        "/projects/0/name",
        "/projects/0/fraction",
        "/projects/0/quota_per_s",
        "/extra/bundle_max",
        "/extra/kind_apart",
        "/extra/loses_worth",
        "/extra/fee_by_zone",
        "/limits/max_retry_after",
        "/limits/retry_after",
        "/limits/probing",
        "/limits/cancelling",
        "/limits/max_streams",
        "/limits/idle_close",
        "/limits/connect_timeout",
        "/rules",
    ] {
        for json in [settings_with(optional, None), settings_with(optional, Some(Value::Null))] {
            let settings = read(&json).unwrap_or_else(|error| panic!("{optional}: {error}"));
            assert_eq!(settings.validate(), Ok(()), "{optional}");
            assert!(names(&json).is_ok(), "{optional}");
        }
    }
}

/// [`read`] and [`Settings::validate`](crate::interface::Settings::validate) check the same ranges and must
/// agree. Each test value at each key is either rejected with an error that begins with a path in the
/// settings, or read as valid settings.
#[test]
fn any_value_is_read_as_valid_settings_or_rejected() {
    fn collect_pointers(pointer: &str, json: &Value, pointers: &mut Vec<String>) {
        let mut visit =
            |key: &str, value: &Value| collect_pointers(&format!("{pointer}/{key}"), value, pointers);
        match json {
            Value::Object(fields) => fields.iter().for_each(|(key, value)| visit(key, value)),
            Value::Array(entries) => entries.iter().enumerate().for_each(|(i, v)| visit(&i.to_string(), v)),
            _ => {}
        }
        pointers.push(pointer.to_owned());
    }
    let mut pointers = Vec::new();
    collect_pointers("", &complete_settings(), &mut pointers);
    pointers.retain(|pointer| !pointer.is_empty());
    assert!(pointers.len() > 50, "the complete settings must have more than 50 keys: {pointers:?}");
    let values = [
        json!(null),
        json!(0),
        json!(-1),
        json!(0.5),
        json!(8.0),
        json!(1e300),
        json!(-1e300),
        json!(u64::MAX),
        json!("x"),
        json!(""),
        json!(true),
        json!([]),
        json!({}),
        json!([[0]]),
    ];
    for pointer in &pointers {
        for value in &values {
            let json = settings_with(pointer, Some(value.clone()));
            match read(&json) {
                // `read` accepts 0 senders, but `validate` rejects them.
                Ok(settings) if settings.peers_total == 0 => assert_eq!(pointer, "/peers_total"),
                Ok(settings) => assert_eq!(settings.validate(), Ok(()), "{pointer} {value}"),
                Err(error) => {
                    let error_text = error.to_string();
                    assert!(
                        error_text.starts_with("settings.") && error_text.contains(": must be "),
                        "{pointer} {value}: {error_text}"
                    );
                    assert!(!error_text.contains('\n'), "{pointer} {value}: {error_text}");
                }
            }
        }
    }
}

#[test]
fn text_that_is_not_valid_json_is_an_error() {
    for text in ["", "{", "{\"az\": 1e400}", "{\"az\": NaN}"] {
        let error = parse(text.as_bytes()).expect_err(text).to_string();
        assert!(error.starts_with("unreadable settings: ") && !error.contains('\n'), "{error}");
    }
}
