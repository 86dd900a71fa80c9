//! Notifications of final outcomes to the platform: in time, and repeated until they are acknowledged.

mod common;

use std::time::{Duration, Instant};

use common::fixture::{Fixture, set_up};
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{Notification, NotificationRequest, ScriptedResponse};

#[tokio::test]
async fn a_notification_is_repeated_until_it_is_acknowledged_and_then_forgotten() {
    let Fixture { mut platform, mut receiver, program, folder, config } =
        set_up(&[ScriptedResponse::Disconnect], DEADLINE_MS).await;
    platform.script_statuses(&[500, 503, 400]);
    program.submit("once", "m1", body()).await;
    receiver.next_call().await;
    for status in [500, 503] {
        assert_eq!(
            platform.next_notifications().await,
            NotificationRequest::one(Notification::undeliverable("m1"), status)
        );
    }
    // Also after a kill; the third response may be before or after it.
    program.kill().await;
    let program = Program::start(&config, &folder.state).await;
    loop {
        let NotificationRequest { notifications: notices, status } = platform.next_notifications().await;
        assert_eq!(notices, [Notification::undeliverable("m1")]);
        if status == 204 {
            break;
        }
    }
    // Another message ends in a later batch, which shows that the acknowledgement is recorded.
    receiver.then(&[ScriptedResponse::Disconnect]);
    program.submit("once", "m2", body()).await;
    assert_eq!(
        platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("m2"), 204)
    );
    program.kill().await;
    receiver.then(&[ScriptedResponse::Disconnect]);
    let program = Program::start(&config, &folder.state).await;
    program.submit("once", "m3", body()).await;
    loop {
        let NotificationRequest { notifications: notices, .. } = platform.next_notifications().await;
        assert!(!notices.contains(&Notification::undeliverable("m1")));
        if notices.contains(&Notification::undeliverable("m3")) {
            break;
        }
    }
}

/// The acknowledgement of the first notification would complete the second message in the journal. The response is 500, because
/// 503 would say that the message has surely not run.
#[tokio::test]
async fn a_message_id_with_a_pending_notification_is_not_accepted_again() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::Disconnect], DEADLINE_MS).await;
    platform.script_statuses(&[500; 100]);
    program.submit("once", "m1", body()).await;
    receiver.next_call().await;
    platform.next_notifications().await;
    assert_eq!(program.submit("once", "m1", body()).await.status(), 500);
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn a_notification_is_sent_in_time_when_no_receiver_responds() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::NoResponse; 4], DEADLINE_MS).await;
    let submitted_at = Instant::now();
    program.submit_with_time_left("keyed", "m1", body(), "0.8").await;
    receiver.next_call().await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    let after = submitted_at.elapsed();
    assert!(after < Duration::from_millis(800 + 300), "{after:?}");
}
