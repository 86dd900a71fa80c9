//! Submissions that the sender rejects for want of space, capacity or receivers.

mod common;

use bytes::Bytes;
use common::*;

#[tokio::test]
async fn a_full_journal_rejects_submissions_and_never_exceeds_its_budget() {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 16]).await);
    let mut receiver = receiver;
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let budget = 3_000_000;
    let large = Bytes::from(vec![b'x'; 60_000]);
    let mut taken = Vec::new();
    for n in 0..100 {
        let message_id = format!("m{n}");
        match program.hand_in("safe", &message_id, large.clone()).await.status().as_u16() {
            202 => taken.push(message_id),
            status => {
                assert_eq!(status, 503);
                break;
            }
        }
        assert!(disk_use(&folder.1) <= budget);
    }
    assert!((20..60).contains(&taken.len()), "{}", taken.len());
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < taken.len() {
        seen.insert(receiver.call().await.message_id);
        assert!(disk_use(&folder.1) <= budget);
    }
    // There is room again, and what is dead goes as the journal is written on.
    for n in 0..60 {
        let message_id = format!("n{n}");
        while program.hand_in("safe", &message_id, large.clone()).await.status() != 202 {
            receiver.call().await;
        }
        assert!(disk_use(&folder.1) <= budget);
    }
}

/// A start with no list at all must not turn clients away for good.
#[tokio::test]
async fn without_any_endpoint_list_a_message_is_rejected_and_not_failed() {
    let platform = FakePlatform::start().await;
    let folder = lasting();
    let program = Program::start(&config(platform.addr, &[], DEADLINE_MS), &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 503);
}

#[tokio::test]
async fn load_shed_near_the_pending_limit_is_answered_at_once() {
    let (mut platform, _receiver, program, _folder, _) = set_up(&[Act::Hang; 16], DEADLINE_MS).await;
    let mut refused = 0;
    for n in 0..110 {
        let answer = program.hand_in("once", &format!("m{n}"), text()).await;
        refused += u32::from(answer.status() == 503);
    }
    // At most 95 of 100 are pending: the others are rejected or deferred, a minute before their deadline.
    while refused < 15 {
        for (_, status) in platform.report().await.0 {
            assert_eq!(status, "deferred");
            refused += 1;
        }
    }
}
