//! Decoding of damaged and forged bytes.
use proptest::prelude::{any, prop, prop_assert, proptest};

use crate::error::DatagramError;
use crate::gossip_message::GossipMessage;
use crate::packing::MAX_BODY_LEN;

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(message) = GossipMessage::decode(&bytes) {
            prop_assert!(message.encode().len() <= MAX_BODY_LEN);
        }
    }
}

/// A declared list length must not exceed the bytes, and no bytes may follow the message.
#[test]
fn a_message_with_a_wrong_length_is_rejected() {
    // A digest whose list of streams declares 4 billion entries.
    let declares_missing_entries = [0, 1, 1, 1, 0, 5, 0xff, 0xff, 0xff, 0xff, 0x0f, 1];
    assert_eq!(GossipMessage::decode(&declares_missing_entries), Err(DatagramError::Malformed));
    let mut empty_digest = vec![0, 1, 1, 1, 0, 5, 0, 0, 0, 0];
    assert!(GossipMessage::decode(&empty_digest).is_ok());
    empty_digest.push(0);
    assert_eq!(GossipMessage::decode(&empty_digest), Err(DatagramError::Malformed));
    assert_eq!(GossipMessage::decode(&[0; MAX_BODY_LEN + 1]), Err(DatagramError::TooLong));
}
