//! Decoding of damaged and hostile bytes.
use proptest::prelude::{any, prop, prop_assert, proptest};

use crate::error::DatagramError;
use crate::gossip_message::GossipMessage;
use crate::packing::MAX_BODY_LEN;

proptest! {
    #[test]
    fn whatever_bytes_come_are_refused_or_read_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(message) = GossipMessage::decode(&bytes) {
            prop_assert!(message.encode().len() <= MAX_BODY_LEN);
        }
    }
}

#[test]
fn a_declared_length_beyond_the_bytes_and_bytes_beyond_the_message_are_refused() {
    // A digest whose list of streams declares 4 billion entries.
    let declared = [0, 1, 1, 1, 0, 5, 0xff, 0xff, 0xff, 0xff, 0x0f, 1];
    assert_eq!(GossipMessage::decode(&declared), Err(DatagramError::Malformed));
    let mut empty = vec![0, 1, 1, 1, 0, 5, 0, 0, 0, 0];
    assert!(GossipMessage::decode(&empty).is_ok());
    empty.push(0);
    assert_eq!(GossipMessage::decode(&empty), Err(DatagramError::Malformed));
    assert_eq!(GossipMessage::decode(&[0; MAX_BODY_LEN + 1]), Err(DatagramError::TooLong));
}
