//! Notifications of final outcomes to the platform: in time, repeated until acknowledged, then forgotten.

mod common;

use std::time::{Duration, Instant};

use common::*;

#[tokio::test]
async fn a_notification_is_repeated_until_it_is_acknowledged_and_then_forgotten() {
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Break], DEADLINE_MS).await;
    platform.answer_reports(&[500, 503, 400]);
    program.hand_in("once", "m1", text()).await;
    receiver.call().await;
    for status in [500, 503] {
        assert_eq!(platform.report().await, (vec![undeliverable("m1")], status));
    }
    // Also across a kill; the third may be of before or after it.
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    loop {
        let (notices, status) = platform.report().await;
        assert_eq!(notices, [undeliverable("m1")]);
        if status == 204 {
            break;
        }
    }
    // A further message ends in a batch after the acknowledgement, so that is on record by then.
    receiver.then(&[Act::Break]);
    program.hand_in("once", "m2", text()).await;
    assert_eq!(platform.report().await, (vec![undeliverable("m2")], 204));
    program.kill().await;
    receiver.then(&[Act::Break]);
    let program = Program::start(&config, &folder.1).await;
    program.hand_in("once", "m3", text()).await;
    loop {
        let (notices, _) = platform.report().await;
        assert!(!notices.contains(&undeliverable("m1")));
        if notices.contains(&undeliverable("m3")) {
            break;
        }
    }
}

/// The acknowledgement of the first one's notification would have completed the second one in the journal.
#[tokio::test]
async fn a_message_id_with_a_pending_notification_is_not_accepted_again() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Break], DEADLINE_MS).await;
    platform.answer_reports(&[500; 100]);
    program.hand_in("once", "m1", text()).await;
    receiver.call().await;
    platform.report().await;
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 503);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_notification_comes_in_time_when_no_receiver_responds() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Hang; 4], DEADLINE_MS).await;
    let handed = Instant::now();
    program.hand_in_within("keyed", "m1", text(), "0.8").await;
    receiver.call().await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    let after = handed.elapsed();
    assert!(after < Duration::from_millis(800 + 300), "{after:?}");
}
