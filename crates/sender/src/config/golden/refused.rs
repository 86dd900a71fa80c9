//! Configurations that cannot work: each is refused with the key and the cause that the version before the renames
//! told. The wording may become better; the complete line of that version is in the file for readers.

use std::collections::BTreeMap;

use super::*;

const REFUSED: &str = include_str!("../../../tests/golden/config.refused.json");

/// The whole configuration with a change that it cannot work with, and what is said of it.
#[derive(Deserialize)]
struct Refused {
    at: String,
    /// What is put there; without one, what stands there is taken away.
    #[serde(default, deserialize_with = "present")]
    value: Option<Value>,
    /// Further changes that the cause needs.
    #[serde(default)]
    also: BTreeMap<String, Value>,
    key: String,
    cause: String,
    /// What the line shows of the value.
    shown: String,
    line: String,
}

/// A null that stands there is a value, too.
fn present<'de, D: serde::Deserializer<'de>>(value: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(value).map(Some)
}

/// The type of JSON that a line says is wanted.
fn wanted(line: &str) -> &'static str {
    let types = [
        ("an address and a port", "text"),
        ("true or false", "flag"),
        ("number", "number"),
        ("a sum", "number"),
        ("a list", "list"),
        ("a text", "text"),
        ("a name", "text"),
        ("another name", "text"),
        ("false", "flag"),
    ];
    let found = types.iter().find(|(says, _)| line.contains(says));
    found.map(|(_, of)| *of).unwrap_or_else(|| panic!("no type that is known: {line}"))
}

/// The type of what a line shows.
fn told(shown: &str) -> &'static str {
    match shown.chars().next() {
        Some('"') => "text",
        Some('[') => "list",
        Some('{') => "object",
        Some('t' | 'f') => "flag",
        _ => "number",
    }
}

/// Which of the causes a line tells.
fn cause(line: &str, shown: &str) -> &'static str {
    let names_choices = line.contains("one of \"");
    if shown == "missing" || line.contains("missing field") {
        "missing"
    } else if line.contains("invalid type") {
        "wrong type"
    } else if line.contains("another name") {
        "twice"
    } else if names_choices {
        if told(shown) == "text" { "unknown name" } else { "wrong type" }
    } else if told(shown) == wanted(line) {
        "out of range"
    } else {
        "wrong type"
    }
}

#[test]
fn each_configuration_that_cannot_work_is_refused_with_the_key_and_the_cause_that_were_told_before() {
    let table: Vec<Refused> = serde_json::from_str(REFUSED).expect("a table");
    assert!(table.len() > 100);
    for Refused { at, value, also, key, cause: expected, shown, line } in table {
        let mut config = whole();
        put(&mut config, &at, value.clone());
        also.into_iter().for_each(|(at, value)| put(&mut config, &at, Some(value)));
        let said = read(&config).expect_err(&format!("{at} {value:?}"));
        for said in [&said, &line] {
            let after = said.strip_prefix(&key).unwrap_or_else(|| panic!("{key}: {said}"));
            assert!(!after.starts_with(|c: char| c.is_alphanumeric() || "._[".contains(c)), "{key}: {said}");
            assert!(after.contains(&shown), "{shown}: {said}");
            assert_eq!(cause(after, &shown), expected, "{said}");
            assert!(!said.contains('\n'), "{said:?}");
        }
    }
}

#[test]
fn a_file_that_is_missing_or_no_json_is_named_with_the_cause_and_the_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let said = || ValidatedConfig::read(&path).expect_err("refused").to_string();
    let begins = format!("{}: ", path.display());
    assert_eq!(said(), format!("{begins}No such file or directory (os error 2)"));
    for (text, place) in [
        ("", "line 1 column 0"),
        ("{", "line 1 column 1"),
        ("{\n\"listen\" 1}", "line 2 column 10"),
        ("{\"seed\": 1e400}", "line 1 column 14"),
        ("{\"seed\": NaN}", "line 1 column 10"),
        ("{} {}", "line 1 column 4"),
    ] {
        std::fs::write(&path, text).expect("a file");
        let said = said();
        assert!(said.starts_with(&begins) && said.ends_with(place) && !said.contains('\n'), "{text}: {said}");
    }
}
