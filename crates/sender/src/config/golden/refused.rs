//! Invalid configurations, compared with recorded errors: key and cause must be the same, the wording may differ. The
//! recorded line is checked like the error of this program.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

use super::super::ValidatedConfig;
use super::{complete_config, put, read};

const REFUSED: &str = include_str!("../../../tests/golden/config.refused.json");

/// An invalid change of the complete configuration, and its error.
#[derive(Deserialize)]
struct Refused {
    /// JSON pointer to the changed value.
    at: String,
    /// The new value; `None` removes the key.
    #[serde(default, deserialize_with = "present")]
    value: Option<Value>,
    /// Further changes, by JSON pointer, which are necessary so that this error is reported instead of another one.
    #[serde(default)]
    also: BTreeMap<String, Value>,
    /// The path of the key at the start of the error.
    key: String,
    /// The kind of error, as [`cause`] returns it.
    cause: String,
    /// The value as the error contains it.
    shown: String,
    /// The recorded error.
    line: String,
}

/// Deserializes null as [`Value::Null`], where an [`Option`] would be `None`.
fn present<'de, D: serde::Deserializer<'de>>(value: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(value).map(Some)
}

/// The type of the valid values that an error names.
fn expected_type(line: &str) -> &'static str {
    let types = [
        ("an address and a port", "text"),
        ("true or false", "flag"),
        ("number", "number"),
        ("a sum", "number"),
        ("a list", "list"),
        ("a string", "text"),
        ("a name", "text"),
        ("another name", "text"),
        ("false", "flag"),
    ];
    let found = types.iter().find(|(text, _)| line.contains(text));
    found.map(|(_, of)| *of).unwrap_or_else(|| panic!("the error names no known type: {line}"))
}

/// The type of the invalid value, as the error contains it.
fn type_of(shown: &str) -> &'static str {
    match shown.chars().next() {
        Some('"') => "text",
        Some('[') => "list",
        Some('{') => "object",
        Some('t' | 'f') => "flag",
        _ => "number",
    }
}

/// The cause that an error names.
fn cause(line: &str, shown: &str) -> &'static str {
    let names_choices = line.contains("one of \"");
    if shown == "missing" || line.contains("missing field") {
        "missing"
    } else if line.contains("invalid type") {
        "wrong type"
    } else if line.contains("another name") {
        "twice"
    } else if names_choices {
        if type_of(shown) == "text" { "unknown name" } else { "wrong type" }
    } else if type_of(shown) == expected_type(line) {
        "out of range"
    } else {
        "wrong type"
    }
}

#[test]
fn each_invalid_configuration_has_the_recorded_key_and_cause() {
    let table: Vec<Refused> = serde_json::from_str(REFUSED).expect("a table");
    assert!(table.len() > 100);
    for Refused { at, value, also, key, cause: expected, shown, line } in table {
        let mut config = complete_config();
        put(&mut config, &at, value.clone());
        for (at, value) in also {
            put(&mut config, &at, Some(value));
        }
        let error = read(&config).expect_err(&format!("{at} {value:?}"));
        for error in [&error, &line] {
            let after = error.strip_prefix(&key).unwrap_or_else(|| panic!("{key}: {error}"));
            assert!(!after.starts_with(|c: char| c.is_alphanumeric() || "._[".contains(c)), "{key}: {error}");
            assert!(after.contains(&shown), "{shown}: {error}");
            assert_eq!(cause(after, &shown), expected, "{error}");
            assert!(!error.contains('\n'), "{error:?}");
        }
    }
}

#[test]
fn a_missing_or_malformed_file_is_reported_with_cause_and_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let error = || ValidatedConfig::read(&path).expect_err("refused").to_string();
    let prefix = format!("{}: ", path.display());
    assert_eq!(error(), format!("{prefix}No such file or directory (os error 2)"));
    for (text, place) in [
        ("", "line 1 column 0"),
        ("{", "line 1 column 1"),
        ("{\n\"listen\" 1}", "line 2 column 10"),
        ("{\"seed\": 1e400}", "line 1 column 14"),
        ("{\"seed\": NaN}", "line 1 column 10"),
        ("{} {}", "line 1 column 4"),
    ] {
        std::fs::write(&path, text).expect("a file");
        let error = error();
        assert!(
            error.starts_with(&prefix) && error.ends_with(place) && !error.contains('\n'),
            "{text}: {error}"
        );
    }
}
