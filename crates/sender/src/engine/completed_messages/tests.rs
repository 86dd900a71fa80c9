use std::time::Duration;

use tokio::time::Instant;

use super::{CompletedMessages, Completion, MAX_COMPLETED_MESSAGES};

const RETENTION: Duration = Duration::from_secs(10);

#[test]
fn an_id_is_known_until_its_retention_ends() {
    let now = Instant::now();
    let mut completed = CompletedMessages::new(RETENTION);
    completed.insert(now, "m1".into(), Completion::Delivered);
    completed.insert(now + RETENTION / 2, "m2".into(), Completion::PossiblyExecuted);
    completed.insert(now + RETENTION / 2, "m1".into(), Completion::PossiblyExecuted);
    completed.remove_expired(now + RETENTION - Duration::from_millis(1));
    assert_eq!(completed.find(&"m1".into()), Some(Completion::Delivered));
    completed.remove_expired(now + RETENTION);
    assert_eq!(completed.find(&"m1".into()), None);
    assert_eq!(completed.find(&"m2".into()), Some(Completion::PossiblyExecuted));
    completed.remove_expired(now + RETENTION * 2);
    assert_eq!(completed.len(), 0);
}

#[test]
fn the_oldest_id_makes_room_beyond_the_maximum_number() {
    let now = Instant::now();
    let mut completed = CompletedMessages::new(RETENTION);
    for number in 0..=MAX_COMPLETED_MESSAGES {
        completed.insert(now, number.to_string().into(), Completion::Delivered);
    }
    assert_eq!(completed.len(), MAX_COMPLETED_MESSAGES);
    assert_eq!(completed.find(&"0".into()), None);
    assert_eq!(completed.find(&"1".into()), Some(Completion::Delivered));
}
