use std::time::Duration;

use tokio::time::Instant;

use super::{CompletedMessage, CompletedMessages, Completion, MAX_COMPLETED_MESSAGES};

const RETENTION: Duration = Duration::from_secs(10);
const DELIVERED: CompletedMessage = CompletedMessage { completion: Completion::Delivered, content: None };
const POSSIBLY_EXECUTED: CompletedMessage = CompletedMessage::RECOVERED;

#[test]
fn an_id_is_known_until_its_retention_ends() {
    let now = Instant::now();
    let mut completed = CompletedMessages::new(RETENTION);
    completed.insert(now, "m1".into(), DELIVERED);
    completed.insert(now + RETENTION / 2, "m2".into(), POSSIBLY_EXECUTED);
    completed.insert(now + RETENTION / 2, "m1".into(), POSSIBLY_EXECUTED);
    completed.remove_expired(now + RETENTION - Duration::from_millis(1));
    assert_eq!(completed.find(&"m1".into()), Some(DELIVERED));
    completed.remove_expired(now + RETENTION);
    assert_eq!(completed.find(&"m1".into()), None);
    assert_eq!(completed.find(&"m2".into()), Some(POSSIBLY_EXECUTED));
    completed.remove_expired(now + RETENTION * 2);
    assert_eq!(completed.len(), 0);
}

#[test]
fn the_oldest_id_makes_room_beyond_the_maximum_number() {
    let now = Instant::now();
    let mut completed = CompletedMessages::new(RETENTION);
    for number in 0..=MAX_COMPLETED_MESSAGES {
        completed.insert(now, number.to_string().into(), DELIVERED);
    }
    assert_eq!(completed.len(), MAX_COMPLETED_MESSAGES);
    assert_eq!(completed.find(&"0".into()), None);
    assert_eq!(completed.find(&"1".into()), Some(DELIVERED));
}
