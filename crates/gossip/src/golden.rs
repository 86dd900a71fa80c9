//! Golden datagrams from `tests/golden`, and the envelope of each kind.

use std::fs;
use std::path::Path;

use crate::envelope::{Envelope, Kind, open, read, seal};

/// The named datagram of a golden file, in which each line has a name and hex digits.
pub(crate) fn datagram(file: &str, name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let lines = fs::read_to_string(path).expect("a golden file");
    let mut named = lines.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = named.find(|(of, _)| *of == name).expect("a line of that name");
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).expect("digits");
        u8::from_str_radix(digits, 16).expect("hex digits")
    };
    hex.as_bytes().chunks(2).map(byte).collect()
}

#[test]
fn the_envelope_of_each_kind_has_the_golden_bytes_and_opens() {
    let body = (513_u16, vec![0_u8, 127, 255], true, u64::MAX);
    let names = [
        ("report", Kind::Report),
        ("view", Kind::Summary),
        ("rules", Kind::Rules),
        ("hot", Kind::Hot),
        ("offer", Kind::PermitOffer),
        ("grant", Kind::PermitGrant),
    ];
    assert_eq!(names.map(|(_, kind)| kind), Kind::ALL);
    for (name, kind) in names {
        let bytes = datagram("envelopes.txt", name);
        assert_eq!(seal(kind, &body).expect("short enough"), bytes, "{name}");
        let Envelope { kind: opened, body: inner } = open(&bytes).expect("a datagram");
        assert_eq!((opened, read(inner)), (kind, Ok(body.clone())), "{name}");
    }
}
