//! Kills at failpoints between two steps of a message, each followed by a restart.

mod common;

use common::fixture::Site;
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{
    Call, Notification, NotificationRequest, ScriptedResponse, raw_submission, read_status, with_timeout,
};

/// The classes: idempotent, with an idempotency key, at most once.
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];

impl Site {
    /// A program that stops at a failpoint.
    async fn start_with_failpoint(&self, failpoint: &str) -> Program {
        Program::start_with_failpoint(failpoint, &self.config, &self.folder.state).await
    }

    /// Starts the program after a kill and checks that `m1` is resumed, and nothing else: it is undeliverable if it
    /// must not be repeated, and sent again otherwise. Returns the call, if there is one.
    async fn expect_resumption(&mut self, class: &str) -> Option<Call> {
        let program = self.start().await;
        let call = if class == "once" {
            let notifications = self.platform.next_notifications().await.notifications;
            assert_eq!(notifications, [Notification::undeliverable("m1")]);
            None
        } else {
            let call = self.receiver.next_call().await;
            assert_eq!(call.message_id, "m1");
            Some(call)
        };
        self.expect_nothing_more(&program).await;
        call
    }

    /// Checks that there is no other call or notification: a new message is decided on after all recovered ones.
    async fn expect_nothing_more(&mut self, program: &Program) {
        assert_eq!(program.submit("safe", "last", body()).await.status(), 202);
        assert_eq!(self.receiver.next_call().await.message_id, "last");
        assert!(self.receiver.has_no_calls() && self.platform.has_no_notifications());
    }
}

fn raw(class: &str) -> Vec<u8> {
    let text = String::from_utf8(raw_submission("m1", "Content-Length: 4", "text")).expect("text");
    text.replace("POST /safe", &format!("POST /{class}"))
        .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\n\r\n")
        .into()
}

/// Submits a message and kills the program when it has reached the failpoint; the client has no response.
async fn kill_before_response(program: Program, class: &str) {
    let mut program = program;
    let mut client = program.raw(&raw(class)).await;
    program.wait_for_log_line("failpoint reached").await;
    program.kill().await;
    assert_eq!(read_status(&mut client).await, None);
}

#[tokio::test]
async fn killed_before_the_record_a_message_was_never_accepted_and_may_be_submitted_again() {
    for class in CLASSES {
        let mut site = Site::new(&[], DEADLINE_MS).await;
        kill_before_response(site.start_with_failpoint("accepted-before-record").await, class).await;
        let program = site.start().await;
        site.expect_nothing_more(&program).await;
        let mut client = program.raw(&raw(class)).await;
        assert_eq!(read_status(&mut client).await, Some(202));
        assert_eq!(site.receiver.next_call().await.message_id, "m1");
    }
}

/// The first attempt is recorded with the message and counts as possibly executed.
#[tokio::test]
async fn killed_between_the_record_and_the_202_a_message_still_reaches_a_final_outcome() {
    for class in CLASSES {
        let mut site = Site::new(&[], DEADLINE_MS).await;
        kill_before_response(site.start_with_failpoint("accepted-recorded").await, class).await;
        assert!(site.receiver.has_no_calls());
        site.expect_resumption(class).await;
    }
}

/// The first attempt was rejected; the second one is recorded, and no byte of it was sent.
#[tokio::test]
async fn killed_between_an_attempts_record_and_its_first_byte_it_counts_as_possibly_executed() {
    for class in CLASSES {
        let mut site =
            Site::new(&[ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "20")], DEADLINE_MS).await;
        let mut program = site.start_with_failpoint("attempt-1-recorded").await;
        assert_eq!(program.submit(class, "m1", body()).await.status(), 202);
        assert_eq!(site.receiver.next_call().await.message_id, "m1");
        program.wait_for_log_line("failpoint reached").await;
        program.kill().await;
        assert!(site.receiver.has_no_calls());
        site.expect_resumption(class).await;
    }
}

#[tokio::test]
async fn killed_between_a_response_and_its_record_only_idempotent_messages_are_retried() {
    for class in CLASSES {
        let mut site = Site::new(&[], DEADLINE_MS).await;
        let mut program = site.start_with_failpoint("delivered-before-record").await;
        assert_eq!(program.submit(class, "m1", body()).await.status(), 202);
        let first = site.receiver.next_call().await;
        program.wait_for_log_line("failpoint reached").await;
        program.kill().await;
        assert_eq!(first.message_id, "m1");
        if let Some(again) = site.expect_resumption(class).await {
            assert_eq!((&again.message_id, &again.body), (&first.message_id, &first.body));
            assert_eq!(again.headers["idempotency-key"], first.headers["idempotency-key"]);
        }
    }
}

/// The journal has no record of the acknowledgement: the notification is sent once more, and then not again.
#[tokio::test]
async fn killed_between_an_acknowledgement_and_its_record_a_notification_is_sent_once_more() {
    let mut site = Site::new(&[ScriptedResponse::Disconnect], DEADLINE_MS).await;
    let mut program = site.start_with_failpoint("acknowledged-before-record").await;
    assert_eq!(program.submit("once", "m1", body()).await.status(), 202);
    assert_eq!(site.receiver.next_call().await.message_id, "m1");
    assert_eq!(
        site.platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("m1"), 204)
    );
    program.wait_for_log_line("failpoint reached").await;
    program.kill().await;
    let program = site.start().await;
    assert_eq!(
        site.platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("m1"), 204)
    );
    // A graceful shutdown records its completion.
    program.terminate().await;
    let mut program = program;
    assert!(program.exit().await.success());
    let program = site.start().await;
    site.expect_nothing_more(&program).await;
}

/// An unanswered notification is repeated, also by the next process.
#[tokio::test]
async fn killed_while_a_notification_is_unanswered_it_is_sent_again() {
    let mut site = Site::new(&[ScriptedResponse::Disconnect], DEADLINE_MS).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = site.config.clone();
    config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    let program = Program::start(&config, &site.folder.state).await;
    assert_eq!(program.submit("once", "m1", body()).await.status(), 202);
    assert_eq!(site.receiver.next_call().await.message_id, "m1");
    loop {
        let (mut stream, _) = with_timeout("a connection", silent.accept()).await.expect("a connection");
        let mut seen = vec![0; 12];
        let read = tokio::io::AsyncReadExt::read_exact(&mut stream, &mut seen);
        // The list is requested on other connections.
        if with_timeout("a request", read).await.is_ok() && seen.starts_with(b"POST /report") {
            break;
        }
    }
    program.kill().await;
    let program = site.start().await;
    assert_eq!(
        site.platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("m1"), 204)
    );
    site.expect_nothing_more(&program).await;
}
