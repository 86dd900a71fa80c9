use bytes::Bytes;
use rudderspindle_policy::interface::{DestinationId, MessageHandle};
use tokio::time::Instant;

use super::{MAX_CLIENTS_PER_MESSAGE, TrackedMessage, TrackedMessages};
use crate::event::SubmissionId;

const FIRST_SUBMISSION: SubmissionId = SubmissionId(1);
const SECOND_SUBMISSION: SubmissionId = SubmissionId(2);

fn message(message_id: &str, recovered: bool, submissions: Vec<SubmissionId>) -> TrackedMessage {
    TrackedMessage {
        message_id: message_id.into(),
        class: 0,
        tenant: 0,
        destination: DestinationId(7),
        recovered,
        submissions,
        idempotency_key: None,
        body: Bytes::new(),
        deadline: Instant::now(),
        attempts: 0,
        called_receiver: None,
    }
}

#[test]
fn a_handle_of_a_call_in_flight_is_not_given_to_another_message() {
    let mut messages = TrackedMessages::default();
    let first = messages.insert(message("m1", false, vec![FIRST_SUBMISSION]), |_| false);
    assert!(messages.remove(first).is_some());
    messages.next_handle = first.0;
    let second = messages.insert(message("m2", false, vec![SECOND_SUBMISSION]), |handle| handle == first);
    assert_ne!(second, first);
    assert_eq!(messages.find(&"m2".into()), Some(second));
}

#[test]
fn handles_start_again_after_the_last_one_and_skip_those_in_use() {
    let mut messages = TrackedMessages { next_handle: u32::MAX, ..TrackedMessages::default() };
    assert_eq!(
        messages.insert(message("m1", false, vec![FIRST_SUBMISSION]), |_| false),
        MessageHandle(u32::MAX)
    );
    assert_eq!(messages.insert(message("m2", false, vec![SECOND_SUBMISSION]), |_| false), MessageHandle(0));
    messages.next_handle = u32::MAX;
    let third = messages.insert(message("m3", false, vec![SubmissionId(3)]), |_| false);
    assert_eq!(third, MessageHandle(1));
}

#[test]
fn a_recovered_message_counts_as_one_client_and_is_not_withdrawn() {
    let mut messages = TrackedMessages::default();
    let handle = messages.insert(message("m1", true, Vec::new()), |_| false);
    let added = (0..MAX_CLIENTS_PER_MESSAGE as u64 + 1)
        .filter(|number| messages.add_submission(handle, SubmissionId(*number)))
        .count();
    assert_eq!(added, MAX_CLIENTS_PER_MESSAGE - 1);
    for number in 0..MAX_CLIENTS_PER_MESSAGE as u64 + 1 {
        assert!(messages.withdraw(SubmissionId(number)).is_none());
    }
    assert!(messages.contains(handle));
}

#[test]
fn a_removed_message_leaves_no_entry() {
    let mut messages = TrackedMessages::default();
    let handle = messages.insert(message("m1", false, vec![FIRST_SUBMISSION]), |_| false);
    assert!(messages.add_submission(handle, SECOND_SUBMISSION));
    assert_eq!(messages.entry_count(), 4);
    assert!(messages.remove(handle).is_some());
    assert_eq!(messages.entry_count(), 0);
    assert!(
        messages.withdraw(FIRST_SUBMISSION).is_none() && !messages.add_submission(handle, FIRST_SUBMISSION)
    );
}
