//! Reads golden datagrams from `tests/golden`, and tests the header of each kind against them.

use std::fs;
use std::path::Path;

use crate::envelope::{Envelope, Kind, open, read, seal};

/// The datagram with this name in a golden file; each line of the file is a name, a space and the bytes in hex digits.
pub(crate) fn datagram(file: &str, name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let lines = fs::read_to_string(path).expect("the golden file is readable");
    let mut datagrams = lines.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = datagrams.find(|(line_name, _)| *line_name == name).expect("the golden file has the name");
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).expect("the bytes are ASCII");
        u8::from_str_radix(digits, 16).expect("the bytes are hex digits")
    };
    hex.as_bytes().chunks(2).map(byte).collect()
}

#[test]
fn the_envelope_of_each_kind_matches_the_golden_bytes() {
    let body = (513_u16, vec![0_u8, 127, 255], true, u64::MAX);
    let names = [
        ("report", Kind::Report),
        ("view", Kind::Summary),
        ("rules", Kind::Rules),
        ("hot", Kind::HeavyHitters),
        ("offer", Kind::PermitOffer),
        ("grant", Kind::PermitGrant),
    ];
    assert_eq!(names.map(|(_, kind)| kind), Kind::ALL);
    for (name, kind) in names {
        let bytes = datagram("envelopes.txt", name);
        assert_eq!(seal(kind, &body).expect("the body fits"), bytes, "{name}");
        let Envelope { kind: opened_kind, body: opened_body } = open(&bytes).expect("the envelope is valid");
        assert_eq!((opened_kind, read(opened_body)), (kind, Ok(body.clone())), "{name}");
    }
}
