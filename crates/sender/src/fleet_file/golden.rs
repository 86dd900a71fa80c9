//! The operator's fleet file, compared with recorded values and errors.

use std::path::Path;

use serde::Deserialize;
use serde_json::{Value, json};

use super::{FleetFile, LimitBound};

const VALUES: &str = include_str!("../../tests/golden/fleet.values.json");
const DEFAULTS: &str = include_str!("../../tests/golden/fleet.defaults.json");
const REFUSED: &str = include_str!("../../tests/golden/fleet.refused.json");

/// A file that is rejected, and its recorded error.
#[derive(Deserialize)]
struct Refused {
    file: String,
    /// The key at the start of the error, or the line if the error names no key.
    place: String,
    /// The value as the error contains it.
    shown: String,
    /// The kind of error, as [`cause`] returns it.
    cause: String,
    /// The recorded error.
    line: String,
}

/// The value of each key, by the path of the key in the file.
fn values(file: &FleetFile) -> Value {
    let bound = match file.sharing.limit_bound {
        LimitBound::BestEffort => "use",
        LimitBound::Strict => "strict",
    };
    let sharing = file.sharing();
    assert_eq!(sharing.is_strict(), bound == "strict");
    json!({"share.from": sharing.min_senders(), "share.bound": bound, "share.judgements": sharing.detects_outliers(),
        "share.counts": sharing.shares_quotas(), "share.most_per_s": sharing.max_messages_per_s(),
        "halls": file.zones, "hall of each of 7 senders": file.zones(7)})
}

/// The kind of error, determined by its text.
fn cause(line: &str) -> &'static str {
    let causes = [
        ("unknown field", "unknown name"),
        ("unknown variant", "unknown name"),
        ("missing field", "missing"),
        ("invalid type", "wrong type"),
        ("wanted string or table", "wrong type"),
        ("invalid value", "out of range"),
        ("duplicate key", "twice"),
        (" twice", "twice"),
        ("share.judgements", "missing"),
        ("2 or more", "out of range"),
        ("1 or more", "out of range"),
    ];
    causes.iter().find(|(text, _)| line.contains(text)).map_or("no TOML", |(_, cause)| cause)
}

fn golden(text: &str) -> Value {
    serde_json::from_str(text).expect("a golden file")
}

#[test]
fn a_file_with_every_key_has_the_recorded_values() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/fleet.toml");
    let file = FleetFile::read(&path).expect("a valid file");
    assert_eq!(values(&file), golden(VALUES));
}

#[test]
fn the_defaults_are_the_recorded_ones() {
    for text in ["", "[share]\n", "[halls]\n", "[share]\nbound = \"use\"\n[halls]\n"] {
        assert_eq!(values(&FleetFile::parse(text).expect(text)), golden(DEFAULTS), "{text:?}");
    }
    assert_eq!(values(&FleetFile::default()), golden(DEFAULTS));
}

#[test]
fn each_rejected_file_has_the_recorded_place_and_cause() {
    let table: Vec<Refused> = serde_json::from_str(REFUSED).expect("a table");
    assert!(table.len() > 20);
    for Refused { file, place, shown, cause: expected, line } in table {
        let error = FleetFile::parse(&file).expect_err(&file).to_string();
        for error in [&error, &line] {
            let after = error
                .strip_prefix("fleet.toml")
                .expect("the path of the file first")
                .trim_start_matches([':', ',', ' ']);
            let after = after.strip_prefix(&place).unwrap_or_else(|| panic!("{place}: {error}"));
            assert!(
                !after.starts_with(|c: char| c.is_alphanumeric() || "._[".contains(c)),
                "{place}: {error}"
            );
            assert!(after.contains(&shown), "{shown}: {error}");
            assert_eq!(cause(error), expected, "{error}");
            assert!(!error.contains('\n'), "{error:?}");
        }
    }
}

#[test]
fn an_unreadable_file_is_reported_with_the_cause() {
    let error = FleetFile::read(Path::new("/nowhere/fleet.toml"))
        .expect_err("a missing file must be rejected")
        .to_string();
    assert!(error.starts_with("/nowhere/fleet.toml: No such file or directory"), "{error}");
}
