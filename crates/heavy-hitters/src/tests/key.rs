//! Tests on which inputs a key depends.
use crate::key::KeyHasher;

/// The key depends on its kind, on where the tenant's name ends, and on the secret of the fleet.
#[test]
fn different_inputs_have_different_keys() {
    let hasher = KeyHasher::new([1; 16]);
    assert_ne!(hasher.stream_key("a", "b"), hasher.idempotency_key("a", "b"));
    assert_ne!(hasher.stream_key("ab", "c"), hasher.stream_key("a", "bc"));
    assert_ne!(hasher.stream_key("a", "b"), KeyHasher::new([2; 16]).stream_key("a", "b"));
    assert_eq!(format!("{hasher:?}"), "KeyHasher");
}
