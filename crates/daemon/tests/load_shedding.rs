//! Submissions that the sender rejects for want of space, capacity or receivers.

mod common;

use bytes::Bytes;
use common::fixture::{Fixture, set_up};
use common::folder::{disk_use, persistent_folder};
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Notification, Receiver, ScriptedResponse, config, member,
};

#[tokio::test]
async fn a_full_journal_rejects_submissions_and_never_exceeds_its_budget() {
    let (platform, receiver) =
        (FakePlatform::start().await, Receiver::start(&[ScriptedResponse::NoResponse; 16]).await);
    let mut receiver = receiver;
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    let budget = 3_000_000;
    let large = Bytes::from(vec![b'x'; 60_000]);
    let mut accepted = Vec::new();
    for n in 0..100 {
        let message_id = format!("m{n}");
        match program.submit("safe", &message_id, large.clone()).await.status().as_u16() {
            202 => accepted.push(message_id),
            status => {
                assert_eq!(status, 503);
                break;
            }
        }
        assert!(disk_use(&folder.state) <= budget);
    }
    assert!((20..60).contains(&accepted.len()), "{}", accepted.len());
    program.kill().await;
    let program = Program::start(&config, &folder.state).await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < accepted.len() {
        seen.insert(receiver.next_call().await.message_id);
        assert!(disk_use(&folder.state) <= budget);
    }
    // Completed messages free space, and segments without pending messages are removed.
    for n in 0..60 {
        let message_id = format!("n{n}");
        while program.submit("safe", &message_id, large.clone()).await.status() != 202 {
            receiver.next_call().await;
        }
        assert!(disk_use(&folder.state) <= budget);
    }
}

/// A start without a list must not fail messages permanently.
#[tokio::test]
async fn without_any_endpoint_list_a_message_is_rejected_and_not_failed() {
    let platform = FakePlatform::start().await;
    let folder = persistent_folder();
    let program = Program::start(&config(platform.addr, &[], DEADLINE_MS), &folder.state).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 503);
}

#[tokio::test]
async fn load_shed_near_the_pending_limit_is_answered_at_once() {
    let Fixture { mut platform, receiver: _receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::NoResponse; 16], DEADLINE_MS).await;
    let mut rejected = 0;
    for n in 0..110 {
        let answer = program.submit("once", &format!("m{n}"), body()).await;
        rejected += u32::from(answer.status() == 503);
    }
    // At most 95 of 100 are pending: the others are rejected or deferred, a minute before their deadline.
    while rejected < 15 {
        for Notification { status, .. } in platform.next_notifications().await.notifications {
            assert_eq!(status, "deferred");
            rejected += 1;
        }
    }
}
