use super::bounded_list::bounded;
use super::{EnvelopeError, Kind, open, read, seal};
use serde::{Deserialize, Serialize};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ShortList(#[serde(deserialize_with = "bounded::<3, _, _>")] Vec<u16>);

#[test]
fn a_truncated_damaged_oversized_or_unknown_datagram_is_rejected() {
    let valid = seal(Kind::Hot, &ShortList(vec![1, 2, 300])).expect("short enough");
    assert_eq!(
        open(&valid).map(|envelope| (envelope.kind, read(envelope.body))),
        Ok((Kind::Hot, Ok(ShortList(vec![1, 2, 300]))))
    );
    for length in 0..valid.len() {
        assert!(open(&valid[..length]).is_err(), "{length} bytes of it");
    }
    for byte in 0..valid.len() {
        let mut damaged = valid.clone();
        damaged[byte] ^= 0x10;
        assert!(open(&damaged).is_err(), "byte {byte} changed");
    }
    assert_eq!(open(&[0x61, 0, 0]), Err(EnvelopeError::Kind(0x61)));
    assert_eq!(open(&[0x70; 300]), Err(EnvelopeError::Length(300)));
    assert!(matches!(seal(Kind::Hot, &vec![7_u8; 250]), Err(EnvelopeError::Length(_))));
}

#[test]
fn a_list_over_its_bound_a_forged_length_and_trailing_bytes_are_errors() {
    assert_eq!(read::<ShortList>(&[3, 1, 2, 3]), Ok(ShortList(vec![1, 2, 3])));
    for malformed in [&[4, 1, 2, 3, 4][..], &[0xff, 0xff, 0xff, 0xff, 0x0f, 1], &[1, 1, 1], &[2, 1]] {
        assert_eq!(read::<ShortList>(malformed), Err(EnvelopeError::Body), "{malformed:?}");
    }
}
