//! Defaults and errors of the operator's fleet file.

use std::path::Path;

use super::FleetFile;

#[test]
fn an_empty_file_has_the_defaults() {
    assert_eq!(FleetFile::parse("").expect("a valid file"), FleetFile::default());
    assert_eq!(FleetFile::default().sharing().min_senders(), 11);
    assert!(!FleetFile::default().sharing().is_strict());
}

/// The location is the line number, or the key of a value that is out of range.
#[test]
fn the_error_for_an_invalid_file_is_one_line_with_path_and_location() {
    for (text, expected) in [
        ("[share]\nbond = \"strict\"", "line 2: unknown field `bond`"),
        ("[shares]", "unknown field `shares`"),
        ("[share]\nbound = \"tight\"", "unknown variant `tight`, expected `use` or `strict`"),
        ("[share]\nfrom = 1", "share.from is 1: must be a whole number of senders, 2 or more"),
        (
            "[share]\njudgements = true",
            "halls is empty: must be a table with the senders of each hall, because share.judgements is true",
        ),
        (
            "[halls]\na = [0, 1]\nb = [1]",
            "halls is a table that lists sender 1 twice: must be a table that lists each sender at most once",
        ),
        (
            "[share]\nmost_per_s = 0",
            "share.most_per_s is 0: must be a whole number of messages per second, 1 or more",
        ),
        ("[share]\nfrom = -3", "invalid value: integer `-3`"),
        ("share", "fleet.toml, line 1: "),
    ] {
        let error = FleetFile::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected) && error.starts_with("fleet.toml"), "{text:?}: {error}");
        assert!(!error.contains('\n'), "{error:?}");
    }
    let missing = FleetFile::read(Path::new("/nowhere/fleet.toml"))
        .expect_err("a missing file must be rejected")
        .to_string();
    assert!(missing.starts_with("/nowhere/fleet.toml: "), "{missing}");
}
