//! The operator's file, compared with what the version before the renames read of it and refused.

use serde::Deserialize;
use serde_json::{Value, json};

use super::*;

const VALUES: &str = include_str!("../../tests/golden/fleet.values.json");
const DEFAULTS: &str = include_str!("../../tests/golden/fleet.defaults.json");
const REFUSED: &str = include_str!("../../tests/golden/fleet.refused.json");

/// A file that is refused, and what is said of it.
#[derive(Deserialize)]
struct Refused {
    file: String,
    /// The key, or (of what is no TOML, or no key of ours) the line.
    place: String,
    /// What stands there.
    shown: String,
    cause: String,
    /// All that the earlier version said; for readers.
    line: String,
}

/// The value under each key, by the names of the file.
fn values(file: &FleetFile) -> Value {
    let bound = match file.share.bound {
        Bound::Use => "use",
        Bound::Strict => "strict",
    };
    let share = file.share();
    assert_eq!(share.is_strict(), bound == "strict");
    json!({"share.from": share.from(), "share.bound": bound, "share.judgements": share.judges(),
        "share.counts": share.counts(), "share.most_per_s": share.most_per_s(),
        "halls": file.halls, "hall of each of 7 senders": file.halls(7)})
}

/// Which of the causes a line tells.
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
        ("from 2 on", "out of range"),
        ("from 1 on", "out of range"),
    ];
    causes.iter().find(|(says, _)| line.contains(says)).map_or("no TOML", |(_, cause)| cause)
}

fn golden(text: &str) -> Value {
    serde_json::from_str(text).expect("a golden file")
}

#[test]
fn a_file_with_every_key_gives_the_values_that_it_gave_before() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/fleet.toml");
    let file = FleetFile::read(&path).expect("a file");
    assert_eq!(values(&file), golden(VALUES));
}

#[test]
fn what_a_file_does_not_say_is_what_it_was_before() {
    for text in ["", "[share]\n", "[halls]\n", "[share]\nbound = \"use\"\n[halls]\n"] {
        assert_eq!(values(&FleetFile::parse(text).expect(text)), golden(DEFAULTS), "{text:?}");
    }
    assert_eq!(values(&FleetFile::default()), golden(DEFAULTS));
}

#[test]
fn each_file_that_is_refused_names_the_place_and_the_cause_that_it_named_before() {
    let table: Vec<Refused> = serde_json::from_str(REFUSED).expect("a table");
    assert!(table.len() > 20);
    for Refused { file, place, shown, cause: expected, line } in table {
        let said = FleetFile::parse(&file).expect_err(&file).to_string();
        for said in [&said, &line] {
            let after =
                said.strip_prefix("fleet.toml").expect("the file first").trim_start_matches([':', ',', ' ']);
            let after = after.strip_prefix(&place).unwrap_or_else(|| panic!("{place}: {said}"));
            assert!(
                !after.starts_with(|c: char| c.is_alphanumeric() || "._[".contains(c)),
                "{place}: {said}"
            );
            assert!(after.contains(&shown), "{shown}: {said}");
            assert_eq!(cause(said), expected, "{said}");
            assert!(!said.contains('\n'), "{said:?}");
        }
    }
}

#[test]
fn a_file_that_cannot_be_read_is_named_with_the_cause() {
    let said = FleetFile::read(Path::new("/nowhere/fleet.toml")).expect_err("no file").to_string();
    assert!(said.starts_with("/nowhere/fleet.toml: No such file or directory"), "{said}");
}
