//! Tests that damaged datagrams, and lists that are too long, are rejected.

use super::bounded_list::bounded;
use super::{EnvelopeError, Kind, open, read, seal};
use serde::{Deserialize, Serialize};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ShortList(#[serde(deserialize_with = "bounded::<3, _, _>")] Vec<u16>);

#[test]
fn a_truncated_damaged_oversized_or_unknown_datagram_is_rejected() {
    let valid = seal(Kind::HeavyHitters, &ShortList(vec![1, 2, 300])).expect("the body fits");
    assert_eq!(
        open(&valid).map(|envelope| (envelope.kind, read(envelope.body))),
        Ok((Kind::HeavyHitters, Ok(ShortList(vec![1, 2, 300]))))
    );
    for length in 0..valid.len() {
        assert!(open(&valid[..length]).is_err(), "the first {length} bytes were accepted");
    }
    for byte in 0..valid.len() {
        let mut damaged = valid.clone();
        damaged[byte] ^= 0x10;
        assert!(open(&damaged).is_err(), "accepted with a changed byte {byte}");
    }
    assert_eq!(open(&[0x61, 0, 0]), Err(EnvelopeError::Kind(0x61)));
    assert_eq!(open(&[0x70; 300]), Err(EnvelopeError::Length(300)));
    assert!(matches!(seal(Kind::HeavyHitters, &vec![7_u8; 250]), Err(EnvelopeError::Length(_))));
}

/// The lists exceed their bound, have a forged length, or are followed by trailing bytes.
#[test]
fn a_malformed_list_is_rejected() {
    assert_eq!(read::<ShortList>(&[3, 1, 2, 3]), Ok(ShortList(vec![1, 2, 3])));
    for malformed in [&[4, 1, 2, 3, 4][..], &[0xff, 0xff, 0xff, 0xff, 0x0f, 1], &[1, 1, 1], &[2, 1]] {
        assert_eq!(read::<ShortList>(malformed), Err(EnvelopeError::Body), "{malformed:?}");
    }
}
