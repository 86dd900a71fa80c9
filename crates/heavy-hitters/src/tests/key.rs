//! The inputs of a key.
use crate::key::KeyHasher;

#[test]
fn a_key_differs_by_kind_by_where_the_names_part_and_by_the_fleet() {
    let hasher = KeyHasher::new([1; 16]);
    assert_ne!(hasher.stream_key("a", "b"), hasher.idempotency_key("a", "b"));
    assert_ne!(hasher.stream_key("ab", "c"), hasher.stream_key("a", "bc"));
    assert_ne!(hasher.stream_key("a", "b"), KeyHasher::new([2; 16]).stream_key("a", "b"));
    assert_eq!(format!("{hasher:?}"), "KeyHasher");
}
